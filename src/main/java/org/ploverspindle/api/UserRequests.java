package org.ploverspindle.api;

import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SnapshotRecord;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.TokenBucket;

/**
 * Users' requests, on any node: nothing is said before it is durable, and nothing from the replica
 * before it is as new as the question. Wires the services that answer them.
 */
public final class UserRequests {
  /** Whatever the store would take: several records should fit into one transaction. */
  private static final int MAX_VALUE_BYTES = 16 * 1024;

  private final SubmissionService submissions;
  private final QueryService queries;
  private final CancellationService cancellations;

  /**
   * @param writes this node's share of the changes
   * @param nonce names this process's records: no other's, and none of an earlier run's
   * @param leaderHints told of what was written here
   */
  public UserRequests(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      AcceptedJobIndex specs,
      Pipelines pipelines,
      ProgressCounts counts,
      Catalogue catalogue,
      Settings settings,
      TokenBucket writes,
      String nonce,
      LeaderNotifier leaderHints) {
    Settings.StateLimits limits = settings.writeLimits();
    int valueBytes = Math.min(limits.valueBytes(), MAX_VALUE_BYTES);
    LinearizableReads reads = new LinearizableReads(scheduler, replica);
    JobStatusReader states = new JobStatusReader(replica, specs, pipelines, counts);
    DependencyCheck dependencies =
        new DependencyCheck(
            specs, pipelines, states, AcceptanceBatch.maxGuards(settings.writeLimits().txnOps()));
    DependencyListWriter lists =
        new DependencyListWriter(scheduler, store, replica, limits.txnOps(), limits.writeRps());
    AcceptanceWriter writer =
        new AcceptanceWriter(
            scheduler,
            store,
            reads,
            states,
            dependencies,
            writes,
            nonce,
            leaderHints,
            valueBytes,
            limits.txnOps());
    this.submissions =
        new SubmissionService(
            scheduler,
            reads,
            states,
            new Feasibility(settings, catalogue),
            dependencies,
            lists,
            writer,
            valueBytes,
            SnapshotRecord.shardSizeFor(limits.valueBytes()));
    this.queries = new QueryService(reads, states, pipelines);
    this.cancellations =
        new CancellationService(
            scheduler, store, reads, states, writes, limits.txnOps(), leaderHints);
  }

  /** Answers a submission. */
  public void submit(byte[] body, Consumer<ApiResponse> then) {
    submissions.submit(body, then);
  }

  /** Answers a question about a job's state. */
  public void poll(String uid, Consumer<ApiResponse> then) {
    queries.poll(uid, then);
  }

  /** Answers a request to cancel a job. */
  public void cancel(String uid, Consumer<ApiResponse> then) {
    cancellations.cancel(uid, then);
  }

  /** For people: how the replica has the job, and what it awaits. */
  public String explain(String uid) {
    return queries.explain(uid);
  }
}
