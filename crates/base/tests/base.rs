//! Properties of the shared types: verdicts and the text forms of ids.

use oleander_base::prelude::*;
use proptest::prelude::*;

fn verdicts() -> impl Strategy<Value = Verdict> {
    prop::sample::select(Verdict::ALL.to_vec())
}

proptest! {
    #[test]
    fn joined_verdict_is_not_run_only_if_every_attempt_is(attempts in prop::collection::vec(verdicts(), 0..6)) {
        let joined = Verdict::over(attempts.iter().copied());
        prop_assert_eq!(joined == Verdict::NotRun, attempts.iter().all(|v| *v == Verdict::NotRun));
        prop_assert_eq!(joined == Verdict::Ran, attempts.contains(&Verdict::Ran));
    }

    #[test]
    fn verdict_join_is_commutative_and_associative(a in verdicts(), b in verdicts(), c in verdicts()) {
        prop_assert_eq!(a.join(b), b.join(a));
        prop_assert_eq!(a.join(b).join(c), a.join(b.join(c)));
        prop_assert_eq!(a.join(a), a);
    }

    #[test]
    fn request_id_text_round_trips(v6 in any::<bool>(), ip in any::<u128>(), port: u16, incarnation: u64, serial: u64) {
        let ip = if v6 {
            std::net::Ipv6Addr::from(ip).into()
        } else {
            std::net::IpAddr::from(std::net::Ipv4Addr::from(ip as u32))
        };
        let origin = InstanceId { address: std::net::SocketAddr::new(ip, port), incarnation };
        let request = RequestId { origin, serial };
        prop_assert_eq!(request.to_string().parse::<RequestId>().unwrap(), request);
        prop_assert_eq!(origin.to_string().parse::<InstanceId>().unwrap(), origin);
    }

    #[test]
    fn any_text_parses_or_errs_without_panic(text in ".{0,120}") {
        let _ = text.parse::<RequestId>();
        let _ = text.parse::<InstanceId>();
    }
}
