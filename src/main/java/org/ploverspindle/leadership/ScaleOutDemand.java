package org.ploverspindle.leadership;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.ploverspindle.cloud.Autoscaler;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.Placement;
import org.ploverspindle.placement.MachineGroup;
import org.ploverspindle.placement.ScaleOutPlanner;

/** Provides the autoscaler with the leader's demand for machines, and handles lost placements. */
final class ScaleOutDemand implements Autoscaler.Workload {
  private final ScaleOutRequests requests;
  private final HighPriorityHeadroom headroom;
  private final JobArrivals arrivals;
  private final TaskProgress progress;
  private final LeaderConnectivity connectivity;
  private final BooleanSupplier isAuthoritative;

  /**
   * @param isAuthoritative whether this leader's lease is certainly valid
   */
  ScaleOutDemand(
      ScaleOutRequests requests,
      HighPriorityHeadroom headroom,
      JobArrivals arrivals,
      TaskProgress progress,
      LeaderConnectivity connectivity,
      BooleanSupplier isAuthoritative) {
    this.requests = requests;
    this.headroom = headroom;
    this.arrivals = arrivals;
    this.progress = progress;
    this.connectivity = connectivity;
    this.isAuthoritative = isAuthoritative;
  }

  @Override
  public List<ScaleOutPlanner.Request> scaleOutRequests(
      List<ScaleOutPlanner.Candidate> candidates, List<MachineGroup> pending) {
    return requests.plan(candidates, pending);
  }

  @Override
  public Predicate<Machine> usefulMachines() {
    return requests.usefulMachines();
  }

  @Override
  public boolean haveSubmissionsStopped() {
    return arrivals.submissionsStopped();
  }

  @Override
  public Predicate<Machine> surplusMachines() {
    return headroom.surplusMachines();
  }

  @Override
  public void placementsLost(List<Placement> placements) {
    progress.placementsLost(placements);
  }

  @Override
  public long receivingHeartbeatsSinceMs() {
    return connectivity.receivingHeartbeatsSinceMs();
  }

  @Override
  public boolean isAuthoritative() {
    return isAuthoritative.getAsBoolean();
  }
}
