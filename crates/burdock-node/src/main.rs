//! `burdockd`, the entry instance.

fn main() -> std::process::ExitCode {
    burdock_node::cli::main()
}
