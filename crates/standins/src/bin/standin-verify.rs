//! Verifies an answer of a stand-in engine, read from standard input.

use std::error::Error;
use std::io;

use gumdrop::Options;
use hawthornpost_standins::text::verify;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "prompt of the answer", required, meta = "TEXT")]
    prompt: String,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let text = io::read_to_string(io::stdin())?;
    let verified = verify(&arguments.prompt, text.trim_end())?;
    if !verified.ended {
        return Err(format!("the answer is truncated after {} tokens", verified.tokens).into());
    }
    println!(
        "the answer is complete: {} tokens, none missing, repeated or from another generation",
        verified.tokens
    );
    Ok(())
}
