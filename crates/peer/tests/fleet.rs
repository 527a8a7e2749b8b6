//! Membership of real endpoints on loopback, some behind proxies that inject faults.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::proxy::FaultProxy;
use common::{
    EchoHandler, TestFiles, TestNode, bind, fast_settings, status, wait_all_live, wait_until,
};
use oleander_base::prelude::*;
use oleander_peer::{ListedVm, MemberState, PeerCall, PeerEndpoint, PeerReply};
use std::sync::Arc;
use tokio::runtime::{Builder, Runtime};

fn runtime() -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime")
}

/// Binds a serving node behind its own proxy.
fn bind_behind(
    proxy: &FaultProxy,
    files: &TestFiles,
    centre: &str,
    seeds: &[SocketAddr],
) -> TestNode {
    let mut settings = fast_settings(files, centre, seeds);
    settings.advertise = Some(proxy.address);
    let node = bind(settings);
    proxy.set_target(node.endpoint.local_address());
    node.endpoint.serve();
    node
}

#[test]
fn members_join_leave_and_end() {
    let files = TestFiles::generate();
    let first = bind(fast_settings(&files, "a", &[]));
    let seeds = [first.id().address];
    let second = bind(fast_settings(&files, "a", &seeds));
    let third = bind(fast_settings(&files, "b", &seeds));
    wait_until("the second is joining", || {
        first.sees(second.id()) == MemberState::Joining
    });
    for node in [&first, &second, &third] {
        node.endpoint.serve();
        node.endpoint.set_revision(Revision(5));
    }
    wait_all_live(&[&first, &second, &third]);
    wait_until("the revision in force is known", || {
        let view = first.endpoint.members();
        let centres = view.centres.values();
        centres.clone().count() == 2
            && centres
                .clone()
                .all(|c| c.oldest_revision == Some(Revision(5)))
    });
    assert!(second.endpoint.has_joined());

    second.endpoint.leave();
    wait_until("the second is leaving", || {
        first.sees(second.id()) == MemberState::Leaving
            && third.sees(second.id()) == MemberState::Leaving
    });
    second.endpoint.serve();
    wait_all_live(&[&first, &second, &third]);
    second.endpoint.shutdown();
    wait_until("the second is gone", || {
        first.sees(second.id()) == MemberState::Gone && third.sees(second.id()) == MemberState::Gone
    });
    wait_until("views are forwarded", || {
        *first.handler.views.lock() == first.endpoint.members().version
    });
}

#[test]
fn a_killed_instance_is_replaced_by_the_next_at_its_address() {
    let files = TestFiles::generate();
    let proxies = runtime();
    let proxy = FaultProxy::spawn(proxies.handle(), 1);
    let first = bind(fast_settings(&files, "a", &[]));
    let seeds = [first.id().address];
    let second = bind(fast_settings(&files, "a", &seeds));
    first.endpoint.serve();
    second.endpoint.serve();

    let killed_runtime = runtime();
    let mut settings = fast_settings(&files, "a", &seeds);
    settings.advertise = Some(proxy.address);
    settings.runtime = Some(killed_runtime.handle().clone());
    let old = bind(settings);
    proxy.set_target(old.endpoint.local_address());
    old.endpoint.serve();
    wait_all_live(&[&first, &second, &old]);

    killed_runtime.shutdown_background();
    let new = bind_behind(&proxy, &files, "a", &seeds);
    wait_all_live(&[&first, &second, &new]);
    wait_until("the old instance is gone", || {
        [&first, &second, &new]
            .iter()
            .all(|node| node.sees(old.id()) == MemberState::Gone)
    });
    assert_eq!(old.id().address, new.id().address);
}

#[test]
fn data_centres_and_isolated_members_reconnect() {
    let files = TestFiles::generate();
    let proxies = runtime();
    let proxy: Vec<_> = (0..4)
        .map(|seed| FaultProxy::spawn(proxies.handle(), seed))
        .collect();
    let seeds = [proxy[0].address];
    let nodes: Vec<_> = ["a", "a", "b", "b"]
        .iter()
        .zip(&proxy)
        .map(|(centre, proxy)| bind_behind(proxy, &files, centre, &seeds))
        .collect();
    let all: Vec<_> = nodes.iter().collect();
    wait_all_live(&all);

    for (one, other) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        proxy[one].cut_from(nodes[other].endpoint.local_address());
        proxy[other].cut_from(nodes[one].endpoint.local_address());
    }
    wait_until("the data centres are cut off from each other", || {
        nodes[1].sees(nodes[3].id()) == MemberState::Unreachable
            && nodes[3].sees(nodes[1].id()) == MemberState::Unreachable
    });
    assert_eq!(nodes[0].sees(nodes[1].id()), MemberState::Live);
    proxy.iter().for_each(FaultProxy::heal);
    wait_all_live(&all);

    proxy.iter().for_each(FaultProxy::cut_all);
    wait_until("every member is alone", || {
        nodes[0].sees(nodes[1].id()) == MemberState::Gone
            && nodes[3].sees(nodes[2].id()) == MemberState::Gone
            && nodes[2].sees(nodes[0].id()) == MemberState::Unreachable
    });
    proxy.iter().for_each(FaultProxy::heal);
    wait_all_live(&all);
}

#[test]
fn a_paused_process_detects_the_pause_before_it_acts() {
    let files = TestFiles::generate();
    let first = bind(fast_settings(&files, "a", &[]));
    first.endpoint.serve();
    let runtime = runtime();
    let mut settings = fast_settings(&files, "a", &[first.id().address]);
    let bound = Duration::from(settings.membership.pause_threshold);
    settings.runtime = Some(runtime.handle().clone());
    let second = bind(settings);
    second.endpoint.serve();
    wait_all_live(&[&first, &second]);
    wait_until("it is current", || second.endpoint.is_current());

    runtime.spawn(async move { std::thread::sleep(bound * 3) });
    wait_until("it notices the pause", || !second.endpoint.is_current());
    wait_until("it has resumed", || {
        *second.handler.resume_count.lock() == 1
    });
    wait_until("it is current again", || second.endpoint.is_current());
    wait_all_live(&[&first, &second]);
}

#[test]
fn messages_survive_a_lossy_network() {
    let files = TestFiles::generate();
    let proxies = runtime();
    let proxy = [1, 2].map(|seed| FaultProxy::spawn(proxies.handle(), seed));
    let first = bind_behind(&proxy[0], &files, "a", &[]);
    let second = bind_behind(&proxy[1], &files, "a", &[proxy[0].address]);
    wait_all_live(&[&first, &second]);
    let call = PeerCall::FetchRecords(Bytes::new());
    let called = first
        .endpoint
        .call(second.id(), call, Duration::from_secs(20));
    let reply = proxies.block_on(called);
    assert_eq!(reply, Ok(PeerReply::Answer(Bytes::new())));
    proxy.iter().for_each(|proxy| proxy.set_loss(0.05));
    for _ in 0..200 {
        first.endpoint.send(second.id(), &status("over"));
    }
    wait_until("all messages are there", || {
        second.handler.messages.lock().len() == 200
    });
    proxy.iter().for_each(|proxy| proxy.set_loss(0.0));
    wait_all_live(&[&first, &second]);
}

#[test]
fn members_join_through_the_vm_list_without_seeds() {
    let files = TestFiles::generate();
    let first = bind(fast_settings(&files, "a", &[]));
    let second = bind(fast_settings(&files, "a", &[]));
    first.endpoint.serve();
    second.endpoint.serve();
    let address = second.id().address;
    let mut vm = ListedVm {
        address: address.ip(),
        port: Some(address.port()),
        leaving: false,
    };
    first.endpoint.observe_vm_list(&[vm]);
    wait_all_live(&[&first, &second]);
    vm.leaving = true;
    first.endpoint.observe_vm_list(&[vm]);
    wait_until("the listed one leaves", || {
        second.sees(second.id()) == MemberState::Leaving
    });
}

#[test]
fn an_endpoint_closes_with_its_last_handle() {
    let files = TestFiles::generate();
    let settings = fast_settings(&files, "a", &[]);
    let handler = Arc::new(EchoHandler::default());
    let endpoint = PeerEndpoint::bind(settings.clone(), handler.clone()).expect("an endpoint");
    let address = endpoint.local_address();
    endpoint.shutdown();
    runtime().block_on(endpoint.closed());
    drop(endpoint);
    let mut again = settings;
    again.listen = address;
    wait_until("the address is free", || {
        PeerEndpoint::bind(again.clone(), handler.clone()).is_ok()
    });
}
