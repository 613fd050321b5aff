package org.ploverspindle.cloud;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.placement.ScaleOutPlanner;
import org.ploverspindle.sizing.AdaptiveSizing;

/**
 * Evaluates the bounds of every pool by GEP-24: finds the groups in which machines may be requested
 * now, and those that hold fewer machines than their minimum.
 */
final class CandidateGroups {
  /**
   * The outcome of one evaluation.
   *
   * @param candidates groups that may grow, in the order of machine types and then of zones, for
   *     each zone spot before on-demand
   * @param shortfalls how many machines to request, by group, so that each zone reaches its minimum
   */
  record Evaluation(
      List<ScaleOutPlanner.Candidate> candidates, Map<MachineGroup, Integer> shortfalls) {}

  private final Catalogue catalogue;
  private final Pools pools;
  private final PoolBoundsRecords boundsRecords;
  private final ScaleOutLimits limits;
  private final BootTracker bootTracker;

  CandidateGroups(
      Catalogue catalogue,
      Pools pools,
      PoolBoundsRecords boundsRecords,
      ScaleOutLimits limits,
      BootTracker bootTracker) {
    this.catalogue = catalogue;
    this.pools = pools;
    this.boundsRecords = boundsRecords;
    this.limits = limits;
    this.bootTracker = bootTracker;
  }

  /** Evaluates the bounds of all pools and records them in the state service. */
  Evaluation evaluate() {
    Evaluation evaluation = new Evaluation(new ArrayList<>(), new LinkedHashMap<>());
    for (int type = 0; type < catalogue.types().size(); type++) {
      List<AdaptiveSizing.Group> groups = pools.groups(type);
      List<AdaptiveSizing.Bounds> bounds = pools.bounds(type, groups);
      boundsRecords.record(type, bounds);
      for (int zone = 0; zone < groups.size(); zone++) {
        if (catalogue.type(type).zones().contains(catalogue.zoneName(zone))) {
          evaluateZone(type, zone, bounds.get(zone), groups.get(zone).machineCount(), evaluation);
        }
      }
    }
    return evaluation;
  }

  private void evaluateZone(
      int type, int zone, AdaptiveSizing.Bounds bounds, int held, Evaluation evaluation) {
    MachineGroup spot = new MachineGroup(type, zone, true);
    MachineGroup onDemand = new MachineGroup(type, zone, false);
    int maxGrowth = bounds.max() - held;
    addCandidate(spot, maxGrowth, held, evaluation);
    addCandidate(onDemand, maxGrowth, held, evaluation);
    int shortfall = Math.min(maxGrowth, bounds.min() - held);
    if (shortfall > 0) {
      // A pool must always have its minimum. Therefore on-demand machines, which the cloud does
      // not reclaim, are requested for it, and spot machines only if the on-demand group is backed
      // off.
      evaluation.shortfalls().put(limits.isBackedOff(onDemand) ? spot : onDemand, shortfall);
    }
  }

  private void addCandidate(MachineGroup group, int maxGrowth, int held, Evaluation evaluation) {
    if (maxGrowth > 0 && !limits.isBackedOff(group)) {
      int maxMachines = Math.min(maxGrowth, limits.maxPerRound(group));
      evaluation
          .candidates()
          .add(
              new ScaleOutPlanner.Candidate(
                  group, maxMachines, held, bootTracker.isBootingLate(group)));
    }
  }
}
