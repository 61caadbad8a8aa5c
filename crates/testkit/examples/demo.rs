//! Brings up a deployment, puts it under load and checks its promises.

use std::process::ExitCode;

use chicoryhollow_testkit::cluster::{Cluster, Deployment, run_role};

fn main() -> ExitCode {
    if let Some(code) = run_role() {
        return code;
    }
    let system = actix_web::rt::System::with_tokio_rt(|| {
        tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()
            .expect("the operating system gives threads")
    });
    let result = system.block_on(async {
        let cluster = Cluster::new(Deployment::pressworks()).await?;
        println!("up {:?}", cluster.log_directory());
        for vm in 0..6 {
            println!("{:?} {}", cluster.caller_address(vm), cluster.admin_url(vm));
        }
        chicoryhollow_testkit::cluster::wait_for_end().await?;
        Ok::<(), Box<dyn std::error::Error>>(())
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
