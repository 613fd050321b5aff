package org.ploverspindle.leadership;

import java.util.random.RandomGenerator;
import org.ploverspindle.cloud.CloudClient;
import org.ploverspindle.cluster.WorkerClient;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.leases.FencingRejections;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.TokenBucket;

/**
 * What a leader is built from, the same in all terms of a controller. Only {@link LeaderComponents}
 * takes it apart: each part of a leader is given just what it uses.
 *
 * @param rejections counts what was refused of this controller's terms after they had ended
 */
public record LeaderContext(
    Scheduler scheduler,
    RandomGenerator random,
    StateAccess state,
    ExternalServices services,
    Configuration configuration,
    FencingRejections rejections) {

  /**
   * The state service and this controller's view of it.
   *
   * @param store for the leader's writes, which are conditional on the leader key
   * @param writeBudget limits the rate of the leader's writes
   */
  public record StateAccess(
      StateStore store,
      Replica replica,
      AcceptedJobIndex acceptedJobs,
      Pipelines pipelines,
      TokenBucket writeBudget) {}

  /** The services that a leader sends requests to, besides the state service. */
  public record ExternalServices(CloudClient cloud, WorkerClient workers) {}

  /** What the operators have set, and what is derived from it. */
  public record Configuration(
      Settings settings, Policy policy, SafetyTiming timing, Catalogue catalogue) {}
}
