//! The cases of the review that are scripts: `lab CASE FOLDER`. The exit code is 1 if the rule was broken, 0 if
//! it held and 2 if the case could not run.

mod deadly_part;
mod deadly_request;
mod fleet;
mod forgotten_version;
mod old_limits;
mod platform;
mod relayed_twice;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, folder) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // No case may run longer than two minutes.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let code = match case.as_str() {
        "old-limits" => old_limits::run(&folder, has_trouble),
        "deadly-part" => deadly_part::run(&folder, has_trouble),
        "relayed-twice" => relayed_twice::run(&folder, has_trouble),
        "deadly-request" => deadly_request::run_kept_ids(&folder, has_trouble),
        "deadly-quiet" => deadly_request::run_quiet(&folder, has_trouble),
        "forgotten-streams" => forgotten_version::run_side_by_side(&folder, has_trouble),
        "forgotten-version" => forgotten_version::run(&folder, has_trouble),
        _ => {
            eprintln!("no such case: {case:?}");
            2
        }
    };
    std::process::exit(code);
}
