package org.carawaysill.policy.fleet;

import org.carawaysill.policy.fleet.allowance.FleetAllowances;
import org.carawaysill.policy.fleet.entry.DemandMeter;
import org.carawaysill.policy.fleet.entry.EntryPlan;

/**
 * The parts of a policy that request handling needs.
 *
 * <p>Not thread safe, like its parts: owned by the policy.
 *
 * @param settings the node's identity and bounds
 * @param effects collects the effects of decisions
 * @param view the view of what is published
 * @param peers the connections to other nodes
 * @param reachableNodes decides which nodes may get work
 * @param suspects tracks which requests may have crashed copies
 * @param localRuns the requests for the local copy
 * @param allowances how much organisations may send
 * @param demand measures the requests offered to this node
 * @param plan the admitted shares
 */
record FleetParts(
        FleetSettings settings,
        Effects effects,
        PublishedView view,
        Peers peers,
        ReachableNodes reachableNodes,
        CrashSuspects suspects,
        LocalRuns localRuns,
        FleetAllowances allowances,
        DemandMeter demand,
        EntryPlan plan) {}
