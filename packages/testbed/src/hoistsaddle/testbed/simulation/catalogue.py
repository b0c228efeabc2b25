"""The scenarios by the names that the command line accepts."""

from hoistsaddle.testbed.simulation.deployment import Scenario
from hoistsaddle.testbed.simulation.scenarios import (
    baseline,
    bundles,
    core,
    keys,
    losses,
    many_orders,
    operator_changes,
    orders,
    partitions,
    pauses,
    random_faults,
    releases,
    rule_changes,
    servers,
    storage,
)

# Scenarios without proxies; they run on the deployments "three" and "five".
CORE_SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        core.core_chaos,
        core.power_lost,
        core.agreed_then_wiped,
        orders.orders_sent_again,
        many_orders.many_orders,
    )
}
SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        baseline.calm,
        losses.core_machine_lost,
        pauses.leader_frozen,
        losses.disk_wiped,
        losses.all_processes_killed,
        losses.all_fail_together,
        losses.proxies_killed,
        partitions.cut_apart,
        pauses.frozen,
        storage.disks_fail,
        servers.servers_change,
        servers.servers_misbehave,
        bundles.bundles_race,
        releases.rolling_restart,
        baseline.lossy,
        losses.zone_lost,
        losses.control_lost,
        partitions.bundle_while_cut_off,
        bundles.broken_bundle,
        random_faults.anything,
        rule_changes.rules_change,
        rule_changes.rules_change_under_faults,
        keys.keys_travel,
        servers.old_process_lives,
        storage.copies_damaged,
        losses.replaced_machines_forgotten,
        losses.wiped_after_acknowledgement,
        releases.releases_side_by_side,
        servers.retry_margins_kept,
        partitions.isolated,
        pauses.clocks_jump,
        operator_changes.operators_at_once,
    )
}
# Former names of scenarios by their names in earlier releases; the command line still accepts them.
FORMER_NAMES = {
    "days_end": "all_fail_together",
    "gone_forgotten": "replaced_machines_forgotten",
    "herd_killed": "all_processes_killed",
    "margins_kept": "retry_margins_kept",
    "rules_change_in_trouble": "rules_change_under_faults",
    "stalls_killed": "proxies_killed",
    "wiped_after_word": "wiped_after_acknowledgement",
}


def find_scenario(name: str) -> Scenario | None:
    """Returns the scenario with this name or former name; None if there is none."""
    present = FORMER_NAMES.get(name, name)
    return SCENARIOS.get(present) or CORE_SCENARIOS.get(present)
