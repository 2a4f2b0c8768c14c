//! The receivers of messages to all hosts of a large fleet.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use hawthornpost_core::membership::{Member, State};
use hawthornpost_gateway::dissemination::{MIN_HOSTS_FOR_RELAYS, Plan, RELAYS_PER_DATA_CENTRE, collector, neighbours};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

const SEED: u64 = 0x2ee5;

fn host(index: usize, data_centres: usize) -> Member {
    let [high, low] = u16::try_from(index).expect("a small number").to_be_bytes();
    let address = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), port);
    Member {
        name: format!("host-{index}").parse().expect("a name"),
        peer_address: address(7200),
        caller_address: address(8740),
        data_centre: format!("dc{}", index % data_centres).parse().expect("a name"),
        region: "r".parse().expect("a name"),
        incarnation: 1,
        state: State::Alive,
        draining: false,
        config: 1,
    }
}

fn fleet(hosts: usize, data_centres: usize) -> Vec<Member> {
    (0..hosts).map(|index| host(index, data_centres)).collect()
}

/// Returns how often each host receives a message of the first one, and how many datagrams cross between data centres.
fn deliver(members: &[Member], relays: usize, lost: &BTreeSet<SocketAddr>) -> (Vec<usize>, usize) {
    let others = members[1..].iter().collect::<Vec<_>>();
    let plan = Plan::new(&members[0], &others, relays, &mut SmallRng::seed_from_u64(SEED));
    let mut received = plan.direct.clone();
    for relay in plan.relays.iter().filter(|relay| !lost.contains(relay)) {
        let own = members
            .iter()
            .find(|member| member.peer_address == *relay)
            .expect("a host");
        let others = members
            .iter()
            .filter(|member| member.name != own.name)
            .collect::<Vec<_>>();
        received.push(*relay);
        received.extend(neighbours(own, &others));
    }
    let counts = members[1..].iter().map(|member| {
        let copies = received.iter().filter(|address| **address == member.peer_address);
        copies.count()
    });
    let remote = |address: &&SocketAddr| {
        let member = members.iter().find(|member| member.peer_address == **address);
        member.is_some_and(|member| member.data_centre != members[0].data_centre)
    };
    let crossings = plan.direct.iter().chain(&plan.relays).filter(remote).count();
    (counts.collect(), crossings)
}

/// Guards against a host that receives no update, and against traffic between data centres that grows with the number of
/// hosts.
#[test_case(8, 3; "few hosts")]
#[test_case(63, 4; "tens of hosts")]
#[test_case(295, 5; "hundreds of hosts")]
#[test_case(390, 8; "the planned size")]
#[test_case(40, 40; "data centres of one host")]
fn a_message_reaches_all_hosts(hosts: usize, data_centres: usize) {
    let members = fleet(hosts, data_centres);
    for relays in [1, RELAYS_PER_DATA_CENTRE] {
        let (counts, crossings) = deliver(&members, relays, &BTreeSet::new());
        assert!(counts.iter().all(|count| (1..=relays).contains(count)), "{counts:?}");
        if hosts >= MIN_HOSTS_FOR_RELAYS {
            assert!(crossings <= (data_centres - 1) * relays, "{crossings}");
        }
    }
}

/// A relay has failed and no host knows it yet. Guards against a data centre that misses an urgent message.
#[test]
fn one_failed_relay_loses_no_urgent_message() {
    let members = fleet(295, 5);
    let others = members[1..].iter().collect::<Vec<_>>();
    let plan = Plan::new(
        &members[0],
        &others,
        RELAYS_PER_DATA_CENTRE,
        &mut SmallRng::seed_from_u64(SEED),
    );
    for failed in &plan.relays {
        let lost = BTreeSet::from([*failed]);
        let (counts, _) = deliver(&members, RELAYS_PER_DATA_CENTRE, &lost);
        let missed = members[1..]
            .iter()
            .zip(counts)
            .filter(|(member, count)| *count == 0 && member.peer_address != *failed);
        assert_eq!(missed.count(), 0);
    }
}

/// Guards against relays that are known to have failed while others work.
#[test]
fn suspect_hosts_are_not_relays() {
    let mut members = fleet(60, 3);
    for member in members
        .iter_mut()
        .skip(1)
        .filter(|member| member.name.as_str() != "host-1")
    {
        member.state = State::Suspect;
    }
    let others = members[1..].iter().collect::<Vec<_>>();
    let plan = Plan::new(
        &members[0],
        &others,
        RELAYS_PER_DATA_CENTRE,
        &mut SmallRng::seed_from_u64(SEED),
    );
    assert!(plan.relays.contains(&members[1].peer_address));
}

/// Guards against loads that are gathered by several hosts of a data centre or by none, and against a host that fails or
/// leaves and keeps the duty.
#[test]
fn one_host_of_each_data_centre_gathers_loads() {
    let mut members = fleet(295, 5);
    let collectors = |members: &[Member]| {
        let chosen = members.iter().map(|own| {
            let others = members
                .iter()
                .filter(|member| member.name != own.name)
                .collect::<Vec<_>>();
            (
                own.data_centre.clone(),
                collector(own, &others).unwrap_or(own.peer_address),
            )
        });
        chosen.collect::<BTreeSet<_>>()
    };
    let first = collectors(&members);
    assert_eq!(first.len(), 5);
    for member in &mut members {
        if first.iter().any(|(_, address)| *address == member.peer_address) {
            member.draining = true;
        }
    }
    let second = collectors(&members);
    assert_eq!((second.len(), second.intersection(&first).count()), (5, 0));
    let small = fleet(MIN_HOSTS_FOR_RELAYS - 1, 3);
    assert_eq!(collector(&small[0], &small[1..].iter().collect::<Vec<_>>()), None);
}
