//! A link that loses segments holds bytes back and keeps their order.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use oleander_standin::users::FaultyLink;

/// The least time by which a piece of a lost segment comes late.
const LATE: Duration = Duration::from_millis(200);

/// Sends bytes one by one over a link to a peer that closes after them. Returns what came, and the longest silence.
fn received(link: &FaultyLink, listener: &TcpListener, pieces: u8) -> (Vec<u8>, Duration) {
    const PAUSE: Duration = Duration::from_millis(5);
    thread::scope(|scope| {
        scope.spawn(|| {
            let (mut server, _) = listener.accept().expect("the link connects");
            for piece in 0..pieces {
                server.write_all(&[piece]).expect("the link reads");
                thread::sleep(PAUSE);
            }
        });
        let mut caller = TcpStream::connect(link.address()).expect("the link listens");
        let (mut bytes, mut longest, mut last) = (Vec::new(), Duration::ZERO, Instant::now());
        let mut buffer = [0; 64];
        loop {
            let count = caller.read(&mut buffer).expect("the link closes in order");
            longest = longest.max(last.elapsed());
            last = Instant::now();
            bytes.extend_from_slice(&buffer[..count]);
            if count == 0 {
                return (bytes, longest);
            }
        }
    })
}

#[test]
fn a_link_that_loses_segments_holds_pieces_and_ends_back_in_their_order() {
    const PIECES: u8 = 12;
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let link = FaultyLink::spawn(address);
    let all: Vec<u8> = (0..PIECES).collect();
    link.lose_segments(1);
    let (bytes, longest) = received(&link, &listener, PIECES);
    assert_eq!(bytes, all);
    assert!(longest >= LATE, "{longest:?}");
    // An answer without a byte: its end alone comes late.
    let (bytes, longest) = received(&link, &listener, 0);
    assert!(bytes.is_empty() && longest >= LATE, "{longest:?}");
    link.lose_segments(0);
    let (bytes, longest) = received(&link, &listener, PIECES);
    assert_eq!(bytes, all);
    assert!(longest < LATE, "{longest:?}");
}
