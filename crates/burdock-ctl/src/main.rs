//! Command line for operators of burdockcroft.

mod check;
mod cli;
mod client;
mod commands;
mod load;
mod print;
mod trace;

fn main() -> std::process::ExitCode {
    cli::main()
}
