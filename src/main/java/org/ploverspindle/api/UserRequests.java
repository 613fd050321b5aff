package org.ploverspindle.api;

import java.util.function.Consumer;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.SnapshotRecord;

/**
 * Handles users' requests on any controller, by the services of this package, which it connects.
 * Nothing is acknowledged before it is durable, and no state that may still change is reported from
 * the replica before the replica is as recent as the request.
 */
public final class UserRequests {
  /**
   * Limit on the size of values, below that of the state service, so that several records fit into
   * a transaction.
   */
  private static final int MAX_VALUE_BYTES = 16 * 1024;

  private final SubmissionService submissions;
  private final QueryService queries;
  private final CancellationService cancellations;

  public UserRequests(
      Scheduler scheduler,
      JobViews views,
      StateWriteAccess writes,
      Catalogue catalogue,
      Settings settings) {
    LinearizableReads reads = new LinearizableReads(scheduler, views.replica());
    JobStatusReader statuses = new JobStatusReader(views);
    this.submissions =
        submissionService(
            scheduler,
            views,
            writes,
            reads,
            statuses,
            new Feasibility(settings, catalogue),
            settings.effectiveStateLimits());
    this.queries = new QueryService(reads, statuses, views.pipelines());
    this.cancellations =
        new CancellationService(
            scheduler,
            writes,
            reads,
            statuses,
            settings.effectiveStateLimits().maxChangesPerTransaction());
  }

  private static SubmissionService submissionService(
      Scheduler scheduler,
      JobViews views,
      StateWriteAccess writes,
      LinearizableReads reads,
      JobStatusReader statuses,
      Feasibility feasibility,
      Settings.StateLimits limits) {
    int maxValueBytes = Math.min(limits.maxValueBytes(), MAX_VALUE_BYTES);
    DependencyCheck dependencyCheck =
        new DependencyCheck(
            views.acceptedJobs(),
            views.pipelines(),
            statuses,
            AcceptanceBatch.maxGuardedDependencies(limits.maxChangesPerTransaction()));
    DependencyListWriter listWriter =
        new DependencyListWriter(
            scheduler,
            writes.store(),
            views.replica(),
            limits.maxChangesPerTransaction(),
            limits.changesPerS());
    AcceptanceWriter acceptanceWriter =
        new AcceptanceWriter(
            scheduler,
            writes,
            reads,
            statuses,
            dependencyCheck,
            new AcceptanceBatch.Limits(maxValueBytes, limits.maxChangesPerTransaction()));
    SubmissionEncoder encoder =
        new SubmissionEncoder(
            scheduler,
            feasibility,
            maxValueBytes,
            SnapshotRecord.maxShardSize(limits.maxValueBytes()));
    return new SubmissionService(
        reads,
        statuses,
        feasibility,
        encoder,
        acceptanceWriter,
        new DependentSubmissions(
            scheduler, reads, statuses, dependencyCheck, listWriter, acceptanceWriter));
  }

  /** Accepts a job, or responds with the reason why it is not accepted. */
  public void submit(byte[] body, Consumer<ApiResponse> responder) {
    submissions.submit(body, responder);
  }

  /** Responds with a job's state. */
  public void poll(String uid, Consumer<ApiResponse> responder) {
    queries.poll(uid, responder);
  }

  /** Cancels a job, and confirms the cancellation once it is durable. */
  public void cancel(String uid, Consumer<ApiResponse> responder) {
    cancellations.cancel(uid, responder);
  }

  /**
   * Describes to operators the job's state as the replica shows it, and its unfinished
   * dependencies.
   */
  public String explain(String uid) {
    return queries.explain(uid);
  }
}
