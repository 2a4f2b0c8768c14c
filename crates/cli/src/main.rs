//! `hawthornpost` operates a deployment; see `hawthornpost --help`.

use std::process::ExitCode;

fn main() -> ExitCode {
    hawthornpost::main()
}
