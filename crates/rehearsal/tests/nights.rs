//! Whole nights, played in virtual time.

use cherrywood_night::Night;
use cherrywood_rehearsal::log::Log;
use cherrywood_rehearsal::{Options, Outcome, play, summary};
use tracing::Level;

fn rehearse(text: &str, seed: u64) -> Outcome {
    let night = Night::parse("test", text).unwrap();
    let options = Options {
        seed,
        ..Options::default()
    };
    let log = Log::new(Level::INFO, None, false);
    log.around(|| play(night, &options, &log, &mut |_| Ok(())))
        .unwrap()
}

#[test]
fn a_quiet_night_settles_every_job_and_replays_to_the_byte() {
    let quiet = "name: quiet\nplay_s: 120\n";
    let first = rehearse(quiet, 7);
    println!("{}", summary::text(&first));
    assert!(first.good(), "{}", summary::text(&first));
    assert!(first.settled.len() > 10);
    let again = rehearse(quiet, 7);
    assert_eq!(first.digest, again.digest);
    let other = rehearse(quiet, 8);
    assert_ne!(first.digest, other.digest);
}
