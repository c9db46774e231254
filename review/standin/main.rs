//! Stand-ins of the review's scripts: servers, clients and the platform, and the cases that use them.
//! Built by `review/build.sh` with nothing but the standard library.

mod client;
mod forming;
mod http;
mod link;
mod lost;
mod proxy;
mod reborn;
mod server;
mod split;
mod stream;
mod voters;
mod world;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = world::options(&arguments);
    let Some(verb) = arguments.first() else { std::process::exit(2) };
    if verb == "server" {
        server::run(&options);
        return;
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = Path::new(options.get("folder").expect("a temporary folder")).to_owned();
    let record = world::Record::create(Path::new(options.get("record").expect("a record")));
    let code = match verb.as_str() {
        "split" => split::run(record.clone(), &folder, trouble),
        "lost" => {
            let only_second = std::env::var("TROUBLE").is_ok_and(|value| value == "second");
            lost::run(record.clone(), &folder, trouble && !only_second, trouble)
        }
        "forming" => forming::run(record.clone(), &folder, trouble),
        "reborn" => reborn::run(record.clone(), &folder, trouble),
        "voters" => voters::run(record.clone(), &folder, trouble),
        "stream" => stream::run(record.clone(), &folder, trouble),
        _ => 2,
    };
    let word = match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    };
    record.show(&format!("exit {code}: {word}"));
    std::process::exit(code);
}
