//! The command `chicoryctl key new`.

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use chicoryhollow_config::{Verifier, verifier::DEFAULT_ITERATIONS};
use chicoryhollow_core::{AccountId, KeyName};
use rand::RngExt;
use serde_json::json;

use crate::output::CommandOutput;

/// Number of random bytes of a key.
const KEY_BYTES: usize = 24;

/// Creates a key and its verifier; the key is not stored anywhere.
pub fn run(name: &KeyName, account: &AccountId) -> CommandOutput {
    let mut rng = rand::rng();
    let key = URL_SAFE_NO_PAD.encode(rng.random::<[u8; KEY_BYTES]>());
    let verifier = Verifier::new(&key, rng.random(), DEFAULT_ITERATIONS);
    let text = format!(
        "key: {key}\n\
         give it to its holder now; it is printed only once\n\
         \n\
         put this into a file of the configuration:\n\
         {{\n  \"keys\": {{\n    \"{name}\": {{\n      \"account\": \"{account}\",\n      \
         \"verifier\": \"{verifier}\"\n    }}\n  }}\n}}"
    );
    let json = json!({ "name": name, "account": account, "key": key, "verifier": verifier });
    CommandOutput::new(text, json)
}
