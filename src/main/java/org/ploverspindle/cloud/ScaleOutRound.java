package org.ploverspindle.cloud;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.placement.ScaleOutPlanner;

/**
 * Runs scale-out rounds, the scans of GEP-24. A round evaluates the pools' bounds, plans which
 * machines pending work needs, and requests the machines.
 */
final class ScaleOutRound {
  private final Scheduler scheduler;
  private final MachineRegistry fleet;
  private final BootTracker bootTracker;
  private final CandidateGroups candidateGroups;
  private final ScaleOutLimits limits;
  private final ProvisioningIntents intents;
  private final Autoscaler.Workload workload;

  ScaleOutRound(
      Scheduler scheduler,
      MachineRegistry fleet,
      BootTracker bootTracker,
      CandidateGroups candidateGroups,
      ScaleOutLimits limits,
      ProvisioningIntents intents,
      Autoscaler.Workload workload) {
    this.scheduler = scheduler;
    this.fleet = fleet;
    this.bootTracker = bootTracker;
    this.candidateGroups = candidateGroups;
    this.limits = limits;
    this.intents = intents;
    this.workload = workload;
  }

  /**
   * Runs one round. Must be called only when the registry shows the machines that exist, and the
   * outcome of earlier provisioning requests is known.
   */
  void run() {
    bootTracker.observe(fleet.all(), scheduler.nowMs());
    CandidateGroups.Evaluation evaluation = candidateGroups.evaluate();
    Map<MachineGroup, Integer> requested = new LinkedHashMap<>(evaluation.shortfalls());
    List<MachineGroup> pending = pendingMachines();
    evaluation
        .shortfalls()
        .forEach(
            (group, count) -> {
              for (int i = 0; i < count; i++) {
                pending.add(group);
              }
            });
    for (ScaleOutPlanner.Request request :
        workload.scaleOutRequests(evaluation.candidates(), pending)) {
      requested.merge(request.group(), request.count(), Integer::sum);
    }
    requested.forEach(this::provision);
  }

  /**
   * The groups of the machines that are requested, or that are booting and not overdue, one element
   * for each machine.
   */
  private List<MachineGroup> pendingMachines() {
    List<MachineGroup> pending = intents.pendingMachines();
    long nowMs = scheduler.nowMs();
    for (Machine machine : fleet.all()) {
      if (!machine.isUp()
          && !machine.isDecommissioning()
          && !bootTracker.isOverdue(machine, nowMs)) {
        pending.add(MachineGroup.of(machine));
      }
    }
    return pending;
  }

  private void provision(MachineGroup group, int count) {
    int remaining = Math.min(count, limits.maxPerRound(group));
    while (remaining > 0) {
      intents.provision(group, Math.min(ProvisioningIntents.MAX_MACHINES_PER_REQUEST, remaining));
      remaining -= ProvisioningIntents.MAX_MACHINES_PER_REQUEST;
    }
  }
}
