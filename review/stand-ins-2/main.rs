//! Plays the cases of the second review: `play CASE FOLDER`, in the repository's root. Exits with 1
//! if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run. With
//! `TROUBLE=0` in the environment there is no disruption.

mod cases;
mod executor;
mod fleet;
mod http;
mod record;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: play CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    match case.as_str() {
        "twice" => cases::twice(folder, trouble),
        "stuck" => cases::stuck(folder, trouble),
        "first" => cases::first(folder, trouble),
        "pending" => cases::pending(folder, trouble),
        _ => {
            eprintln!("no case {case}");
            exit(2);
        }
    }
}
