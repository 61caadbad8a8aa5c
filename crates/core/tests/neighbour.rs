//! Neighbours: each pair is linked once, and all VMs are connected in a few hops.

use std::collections::{HashMap, HashSet};

use chicoryhollow_core::{
    DataCentreId, VmId,
    neighbour::{Location, choose_neighbours, neighbours_to_dial},
};

fn fleet(vms: usize, data_centres: usize) -> (Vec<VmId>, Vec<DataCentreId>) {
    let name = |i| format!("vm-{i}").parse().expect("a valid name");
    let data_centre = |i| format!("dc-{i}").parse().expect("a valid name");
    ((0..vms).map(name).collect(), (0..data_centres).map(data_centre).collect())
}

fn locations<'a>(vms: &'a [VmId], data_centres: &'a [DataCentreId]) -> Vec<Location<'a>> {
    let location = |(i, vm)| Location { vm, data_centre: &data_centres[i % data_centres.len()] };
    vms.iter().enumerate().map(location).collect()
}

#[test]
fn exactly_one_vm_of_each_pair_of_neighbours_dials() {
    for (vms, data_centres) in [(2, 1), (6, 3), (9, 3), (91, 4)] {
        let (vms, data_centres) = fleet(vms, data_centres);
        let all = locations(&vms, &data_centres);
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
fn every_vm_is_a_few_hops_from_all_others_and_linked_to_other_data_centres() {
    let (vms, data_centres) = fleet(300, 20);
    let all = locations(&vms, &data_centres);
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
    assert!(steps <= 5, "news takes {steps} hops");
    for me in &all {
        let far = all.iter().filter(|other| other.data_centre != me.data_centre);
        assert!(far.filter(|other| links[me.vm].contains(other.vm)).count() >= 3, "{}", me.vm);
    }
}
