//! Tests that the fault proxies cut connections, hold bytes back and drop datagrams as configured.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

use oleander_standin::{
    CutPoint, DatagramFaults, DirectionFault, FaultProxy, ProxyFaults, UdpFaultProxy,
};

const LONG_WAIT: Duration = Duration::from_secs(20);
const SHORT_WAIT: Duration = Duration::from_millis(60);

/// Starts a server that echoes every byte, and returns its address.
fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || echo(stream));
        }
    });
    address
}

fn echo(mut stream: TcpStream) {
    let mut buffer = [0; 1_024];
    while let Ok(size) = stream.read(&mut buffer) {
        if size == 0 || stream.write_all(&buffer[..size]).is_err() {
            return;
        }
    }
}

fn connect(proxy: &FaultProxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.address()).unwrap();
    stream.set_read_timeout(Some(LONG_WAIT)).unwrap();
    stream
}

fn read_all(stream: &mut TcpStream) -> usize {
    let mut buffer = Vec::new();
    let _ = stream.read_to_end(&mut buffer);
    buffer.len()
}

fn cut(point: CutPoint) -> ProxyFaults {
    ProxyFaults {
        cut: point,
        ..ProxyFaults::default()
    }
}

#[test]
fn everything_passes_without_faults_and_a_cut_ends_it() {
    let proxy = FaultProxy::bind(echo_server()).unwrap();
    let mut stream = connect(&proxy);
    stream.write_all(b"hello").unwrap();
    let mut answer = [0; 5];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"hello");
    proxy.cut_all();
    assert_eq!(read_all(&mut stream), 0);
    assert_eq!((proxy.connections(), proxy.cuts()), (1, 1));
}

#[test]
fn cuts_take_place_where_they_are_set() {
    let proxy = FaultProxy::bind(echo_server()).unwrap();
    let points = [
        (CutPoint::AtAccept, 0),
        (CutPoint::BeforeRequest, 0),
        (CutPoint::BeforeAnswer, 0),
        (CutPoint::InAnswer(3), 3),
    ];
    for (point, received) in points {
        proxy.set(cut(point));
        let mut stream = connect(&proxy);
        let _ = stream.write_all(b"hello");
        assert_eq!(read_all(&mut stream), received, "{point:?}");
    }
    assert_eq!(proxy.cuts(), 4);
}

#[test]
fn a_blocked_direction_holds_its_bytes_until_it_heals() {
    let proxy = FaultProxy::bind(echo_server()).unwrap();
    let mut stream = connect(&proxy);
    let blocked = DirectionFault {
        blocked: true,
        ..DirectionFault::default()
    };
    proxy.set(ProxyFaults {
        to_caller: blocked,
        ..ProxyFaults::default()
    });
    stream.write_all(b"hello").unwrap();
    stream.set_read_timeout(Some(SHORT_WAIT)).unwrap();
    let mut answer = [0; 5];
    let error = stream.read_exact(&mut answer).unwrap_err();
    assert!(matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut
    ));
    proxy.clear_faults();
    stream.set_read_timeout(Some(LONG_WAIT)).unwrap();
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"hello");
}

#[test]
fn datagrams_pass_both_ways_and_a_partition_loses_them() {
    let target = UdpSocket::bind("127.0.0.1:0").unwrap();
    target.set_read_timeout(Some(LONG_WAIT)).unwrap();
    let proxy = UdpFaultProxy::bind(target.local_addr().unwrap(), 1).unwrap();
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    sender.set_read_timeout(Some(LONG_WAIT)).unwrap();
    let mut buffer = [0; 64];

    sender.send_to(b"ping", proxy.address()).unwrap();
    let (size, proxy_address) = target.recv_from(&mut buffer).unwrap();
    assert_eq!(&buffer[..size], b"ping");
    target.send_to(b"pong", proxy_address).unwrap();
    let (size, _) = sender.recv_from(&mut buffer).unwrap();
    assert_eq!(&buffer[..size], b"pong");

    proxy.set(DatagramFaults::partition());
    sender.send_to(b"lost", proxy.address()).unwrap();
    while proxy.lost() == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    proxy.clear_faults();
    sender.send_to(b"again", proxy.address()).unwrap();
    let (size, _) = target.recv_from(&mut buffer).unwrap();
    assert_eq!(&buffer[..size], b"again");
}
