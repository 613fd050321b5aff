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
 * What a leader is created from; the same in all terms of a controller. Only {@link Leader} and
 * {@link LeaderComponents} receive it as a whole: all other components receive just what they use.
 *
 * @param rejections counts the requests of this controller that were refused because a newer leader
 *     had replaced it
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
   * @param store executes the leader's writes, which are conditional on the leader key
   * @param writeBudget limits the rate of the leader's writes
   */
  public record StateAccess(
      StateStore store,
      Replica replica,
      AcceptedJobIndex acceptedJobs,
      Pipelines pipelines,
      TokenBucket writeBudget) {}

  /** The services to which a leader sends requests, other than the state service. */
  public record ExternalServices(CloudClient cloud, WorkerClient workers) {}

  /** The operators' settings and policy, the times derived from them, and the machine types. */
  public record Configuration(
      Settings settings, Policy policy, SafetyTiming timing, Catalogue catalogue) {}
}
