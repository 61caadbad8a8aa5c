//! Neighbours: few, linked once, and connected.

use std::collections::{HashMap, HashSet};

use chicoryhollow_core::{
    DataCentreId, VmId,
    neighbour::{Location, choose_neighbours, neighbours_to_dial},
};

fn fleet(vms: usize, data_centres: usize) -> (Vec<VmId>, Vec<DataCentreId>) {
    let name = |i| format!("vm-{i}").parse().expect("a valid name");
    let centre = |i| format!("dc-{i}").parse().expect("a valid name");
    ((0..vms).map(name).collect(), (0..data_centres).map(centre).collect())
}

fn places<'a>(vms: &'a [VmId], centres: &'a [DataCentreId]) -> Vec<Location<'a>> {
    let place = |(i, vm)| Location { vm, data_centre: &centres[i % centres.len()] };
    vms.iter().enumerate().map(place).collect()
}

#[test]
fn each_pair_is_dialled_from_one_side() {
    for (vms, centres) in [(2, 1), (6, 3), (9, 3), (91, 4)] {
        let (vms, centres) = fleet(vms, centres);
        let all = places(&vms, &centres);
        let mine: HashMap<&VmId, _> =
            all.iter().map(|me| (me.vm, choose_neighbours(*me, &all))).collect();
        let dials: HashMap<&VmId, _> =
            all.iter().map(|me| (me.vm, neighbours_to_dial(*me, &mine[me.vm], &all))).collect();
        for a in &vms {
            for b in vms.iter().filter(|b| *b > a) {
                let wanted = mine[a].contains(b) || mine[b].contains(a);
                let dialled = dials[a].contains(b) as usize + dials[b].contains(a) as usize;
                assert_eq!(dialled, usize::from(wanted), "{a} and {b} of {}", vms.len());
            }
        }
    }
}

#[test]
fn every_vm_reaches_all_others_and_other_data_centres() {
    let (vms, centres) = fleet(300, 20);
    let all = places(&vms, &centres);
    let mut links: HashMap<&VmId, HashSet<&VmId>> = HashMap::new();
    for me in &all {
        let mine = choose_neighbours(*me, &all);
        for other in all.iter().filter(|other| mine.contains(other.vm)) {
            links.entry(me.vm).or_default().insert(other.vm);
            links.entry(other.vm).or_default().insert(me.vm);
        }
    }
    let mut reached = HashSet::from([&vms[0]]);
    let mut frontier = vec![&vms[0]];
    let mut steps = 0;
    while !frontier.is_empty() && reached.len() < vms.len() {
        frontier = frontier.iter().flat_map(|vm| links[*vm].iter().copied()).collect();
        frontier.retain(|vm| reached.insert(vm));
        steps += 1;
    }
    assert_eq!(reached.len(), vms.len());
    assert!(steps <= 5, "beliefs take {steps} steps");
    for me in &all {
        let far = all.iter().filter(|other| other.data_centre != me.data_centre);
        assert!(far.filter(|other| links[me.vm].contains(other.vm)).count() >= 3, "{}", me.vm);
    }
}
