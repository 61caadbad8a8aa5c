//! SQL values and their conversion between the wire, the log and SQLite.

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::FORMAT_CODE_BINARY;
use rusqlite::{
    ToSql,
    types::{ToSqlOutput, ValueRef},
};
use serde::{Deserialize, Serialize};

use crate::backend::error::SqlError;

/// Object ids of the PostgreSQL types that the stand-in supports.
pub(crate) mod oid {
    pub(crate) const UNKNOWN: u32 = 0;
    pub(crate) const BOOL: u32 = 16;
    pub(crate) const BYTEA: u32 = 17;
    pub(crate) const INT8: u32 = 20;
    pub(crate) const INT2: u32 = 21;
    pub(crate) const INT4: u32 = 23;
    pub(crate) const TEXT: u32 = 25;
    pub(crate) const FLOAT4: u32 = 700;
    pub(crate) const FLOAT8: u32 = 701;
    pub(crate) const VARCHAR: u32 = 1_043;
}

/// Returns the object id of the type with an SQL type name.
pub(crate) fn type_oid(name: &str) -> Option<u32> {
    let base = name.split(['(', ' ']).next().unwrap_or_default().to_ascii_lowercase();
    match base.as_str() {
        "bool" | "boolean" => Some(oid::BOOL),
        "bytea" | "blob" => Some(oid::BYTEA),
        "int8" | "bigint" | "integer" | "bigserial" => Some(oid::INT8),
        "int2" | "smallint" => Some(oid::INT2),
        "int4" | "int" | "serial" => Some(oid::INT4),
        "float4" => Some(oid::FLOAT4),
        "float8" | "real" | "double" => Some(oid::FLOAT8),
        "text" => Some(oid::TEXT),
        "varchar" | "character" => Some(oid::VARCHAR),
        _ => None,
    }
}

/// One SQL value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datum {
    Null,
    Int(i64),
    Real(f64),
    Text(String),
    Blob(Vec<u8>),
}

impl ToSql for Datum {
    fn to_sql(&self) -> rusqlite::Result<ToSqlOutput<'_>> {
        let value = match self {
            Datum::Null => ValueRef::Null,
            Datum::Int(number) => ValueRef::Integer(*number),
            Datum::Real(number) => ValueRef::Real(*number),
            Datum::Text(text) => ValueRef::Text(text.as_bytes()),
            Datum::Blob(bytes) => ValueRef::Blob(bytes),
        };
        Ok(ToSqlOutput::Borrowed(value))
    }
}

impl Datum {
    /// Decodes a bound parameter in text or binary format.
    pub(crate) fn decode(bytes: &[u8], type_id: u32, format: i16) -> Result<Datum, SqlError> {
        let bad = || SqlError::new("22P02", "invalid parameter value");
        if format == FORMAT_CODE_BINARY {
            return Datum::decode_binary(bytes, type_id).ok_or_else(bad);
        }
        let text = std::str::from_utf8(bytes).map_err(|_| bad())?;
        Ok(match type_id {
            oid::INT2 | oid::INT4 | oid::INT8 => Datum::Int(text.parse().map_err(|_| bad())?),
            oid::FLOAT4 | oid::FLOAT8 => Datum::Real(text.parse().map_err(|_| bad())?),
            oid::BOOL => Datum::Int(matches!(text, "t" | "true" | "1" | "on").into()),
            oid::BYTEA => Datum::Blob(decode_hex(text).ok_or_else(bad)?),
            _ => Datum::Text(text.to_owned()),
        })
    }

    fn decode_binary(bytes: &[u8], type_id: u32) -> Option<Datum> {
        Some(match type_id {
            oid::INT2 => Datum::Int(i16::from_be_bytes(bytes.try_into().ok()?).into()),
            oid::INT4 => Datum::Int(i32::from_be_bytes(bytes.try_into().ok()?).into()),
            oid::INT8 => Datum::Int(i64::from_be_bytes(bytes.try_into().ok()?)),
            oid::FLOAT4 => Datum::Real(f32::from_be_bytes(bytes.try_into().ok()?).into()),
            oid::FLOAT8 => Datum::Real(f64::from_be_bytes(bytes.try_into().ok()?)),
            oid::BOOL => Datum::Int((*bytes.first()? != 0).into()),
            oid::BYTEA => Datum::Blob(bytes.to_vec()),
            _ => Datum::Text(String::from_utf8(bytes.to_vec()).ok()?),
        })
    }
}

/// Appends one column of a data row: the length and the encoded value.
pub(crate) fn encode_column(value: ValueRef<'_>, type_id: u32, format: i16, out: &mut BytesMut) {
    if matches!(value, ValueRef::Null) {
        out.put_i32(-1);
        return;
    }
    let start = out.len();
    out.put_i32(0);
    if format == FORMAT_CODE_BINARY {
        encode_binary(value, type_id, out);
    } else {
        encode_text(value, type_id, out);
    }
    let length = i32::try_from(out.len() - start - 4).unwrap_or(i32::MAX);
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn encode_binary(value: ValueRef<'_>, type_id: u32, out: &mut BytesMut) {
    match type_id {
        oid::INT2 => out.put_i16(integer(value) as i16),
        oid::INT4 => out.put_i32(integer(value) as i32),
        oid::INT8 => out.put_i64(integer(value)),
        oid::FLOAT4 => out.put_f32(real(value) as f32),
        oid::FLOAT8 => out.put_f64(real(value)),
        oid::BOOL => out.put_u8((integer(value) != 0).into()),
        oid::BYTEA => match value {
            ValueRef::Blob(bytes) | ValueRef::Text(bytes) => out.put_slice(bytes),
            _ => {}
        },
        _ => encode_text(value, type_id, out),
    }
}

fn encode_text(value: ValueRef<'_>, type_id: u32, out: &mut BytesMut) {
    match value {
        ValueRef::Null => {}
        ValueRef::Integer(number) if type_id == oid::BOOL => {
            out.put_u8(if number == 0 { b'f' } else { b't' });
        }
        ValueRef::Integer(number) => out.put_slice(number.to_string().as_bytes()),
        ValueRef::Real(number) => out.put_slice(number.to_string().as_bytes()),
        ValueRef::Text(bytes) => out.put_slice(bytes),
        ValueRef::Blob(bytes) => out.put_slice(encode_hex(bytes).as_bytes()),
    }
}

fn integer(value: ValueRef<'_>) -> i64 {
    match value {
        ValueRef::Integer(number) => number,
        ValueRef::Real(number) => number as i64,
        ValueRef::Text(bytes) => {
            std::str::from_utf8(bytes).ok().and_then(|text| text.parse().ok()).unwrap_or(0)
        }
        _ => 0,
    }
}

fn real(value: ValueRef<'_>) -> f64 {
    match value {
        ValueRef::Real(number) => number,
        other => integer(other) as f64,
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("\\x{digits}")
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.strip_prefix("\\x")?;
    if !digits.is_ascii() || !digits.len().is_multiple_of(2) {
        return None;
    }
    (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16).ok()).collect()
}
