//! Number of CPUs wanted, and choice of the offers to rent.

use cherrywood_sched::Resources;
use cherrywood_sched::provisioning::{
    CpuDemand, InstanceOffer, OccupiedCpus, ProvisioningOrder, TeamDemand, plan_provisioning,
};

fn offer(zone: &str, price_per_h: f64, existing_machines: u32) -> InstanceOffer {
    InstanceOffer {
        machine_type: "m".into(),
        zone: zone.into(),
        spot: price_per_h < 1.0,
        cpus: 32.0,
        price_per_h,
        boot_s: 30.0,
        existing_machines,
        boots_overdue: false,
    }
}

fn cpus(cpus: f64) -> OccupiedCpus {
    OccupiedCpus {
        by_cpus: cpus,
        ..OccupiedCpus::default()
    }
}

fn order(offer: usize, machines: u32) -> ProvisioningOrder {
    ProvisioningOrder { offer, machines }
}

#[test]
fn the_cheapest_offers_are_rented_spread_over_zones() {
    let offers = [offer("a", 2.4, 0), offer("b", 0.6, 2), offer("c", 0.6, 0)];
    assert_eq!(
        plan_provisioning(128.0, &offers),
        vec![order(1, 1), order(2, 3)]
    );
    assert!(plan_provisioning(0.0, &offers).is_empty());
}

#[test]
fn an_offer_with_overdue_boots_is_rented_only_without_an_alternative() {
    let mut offers = [offer("a", 0.6, 0), offer("b", 0.6, 9)];
    offers[0].boots_overdue = true;
    assert_eq!(plan_provisioning(64.0, &offers), vec![order(1, 2)]);
    assert_eq!(plan_provisioning(64.0, &offers[..1]), vec![order(0, 2)]);
}

#[test]
fn of_offers_at_similar_prices_the_one_that_boots_faster_is_rented() {
    let slow = InstanceOffer {
        boot_s: 50.0,
        ..offer("a", 0.56, 0)
    };
    let fast = InstanceOffer {
        boot_s: 20.0,
        ..offer("b", 0.6, 0)
    };
    assert_eq!(
        plan_provisioning(32.0, &[slow.clone(), fast]),
        vec![order(1, 1)]
    );
    let expensive = offer("c", 2.4, 0);
    assert_eq!(
        plan_provisioning(32.0, &[slow, expensive]),
        vec![order(0, 1)]
    );
}

#[test]
fn wanted_cpus_are_bounded_by_waiting_tasks_and_by_the_team_limit() {
    let mut team = TeamDemand {
        headroom_cpus: 1000.0,
        ..TeamDemand::default()
    };
    team.add_tasks(cpus(2.0), 100.0, 30.0);
    let demand = |team| CpuDemand {
        placed: cpus(10.0),
        teams: vec![team],
    };
    assert_eq!(demand(team).wanted_cpus(60.0), 110.0);
    assert_eq!(demand(team).wanted_cpus(1.0), 210.0);
    // With a long queue and a small team limit, only the CPUs of the limit are wanted.
    team.headroom_cpus = 40.0;
    assert_eq!(demand(team).wanted_cpus(60.0), 50.0);
}

/// Tasks that take three times as much of a machine's memory as of its CPUs need three times the
/// machines.
#[test]
fn wanted_cpus_count_the_machines_that_tasks_occupy() {
    let mut team = TeamDemand {
        headroom_cpus: 1000.0,
        ..TeamDemand::default()
    };
    let machine = Resources {
        cpus: 32.0,
        gpus: 0.0,
        memory_gb: 128.0,
    };
    let task = Resources {
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 48.0,
    };
    team.add_tasks(OccupiedCpus::on_machines(task, machine), 10.0, 100.0);
    let demand = |team| CpuDemand {
        placed: OccupiedCpus::default(),
        teams: vec![team],
    };
    assert_eq!(demand(team).wanted_cpus(20.0), 120.0);
    team.headroom_cpus = 8.0;
    assert_eq!(demand(team).wanted_cpus(20.0), 24.0);
}

/// Tasks that use little of the memory and tasks that use little else share machines.
#[test]
fn tasks_that_complement_each_other_want_no_more_than_they_take_together() {
    let mut team = TeamDemand {
        headroom_cpus: 1000.0,
        ..TeamDemand::default()
    };
    let by_memory = |cpus, by_memory| OccupiedCpus {
        by_cpus: cpus,
        by_memory,
        by_gpus: 0.0,
    };
    team.add_tasks(by_memory(1.0, 7.0), 10.0, 100.0);
    team.add_tasks(by_memory(7.0, 1.0), 10.0, 100.0);
    let demand = CpuDemand {
        placed: OccupiedCpus::default(),
        teams: vec![team],
    };
    assert_eq!(demand.wanted_cpus(20.0), 80.0);
}
