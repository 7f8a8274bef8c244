//! Generates `src/proto/fulmardrift.v1.rs` from `proto/fulmardrift.proto`.
//!
//! Run it after every change of the `.proto` file: `cargo run --example codegen`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = protox::compile(["fulmardrift.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .out_dir("src/proto")
        .bytes(".")
        .compile_fds(files)?;
    Ok(())
}
