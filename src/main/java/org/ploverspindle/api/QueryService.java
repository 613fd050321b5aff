package org.ploverspindle.api;

import static java.util.stream.Collectors.joining;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.pipelines.DependencyGraph;
import org.ploverspindle.pipelines.Pipelines;

/** Answers queries about jobs. */
final class QueryService {
  private static final int MAX_EXPLAINED_DEPENDENCIES = 50;

  private final LinearizableReads reads;
  private final JobStatusReader statuses;
  private final Pipelines pipelines;

  QueryService(LinearizableReads reads, JobStatusReader statuses, Pipelines pipelines) {
    this.reads = reads;
    this.statuses = statuses;
    this.pipelines = pipelines;
  }

  /**
   * Responds with the job's state, which is at least as recent as the responses that any controller
   * sent before the request.
   */
  void poll(String uid, Consumer<ApiResponse> responder) {
    if (!SubmissionCodec.isValidUid(uid)) {
      responder.accept(ApiResponse.noSuchJob());
    } else if (statuses.isTerminal(uid)) {
      responder.accept(statuses.response(uid).orElseThrow());
    } else if (!reads.isLoaded()) {
      responder.accept(ApiResponse.stateUnavailable());
    } else {
      // Every job is polled every few seconds, and no user's work depends on a prompt response.
      reads.lowPriorityReadBarrier(fresh -> responder.accept(responseAfterRead(uid, fresh)));
    }
  }

  private ApiResponse responseAfterRead(String uid, boolean fresh) {
    return fresh
        ? statuses.response(uid).orElseGet(ApiResponse::noSuchJob)
        : ApiResponse.stateUnavailable();
  }

  /**
   * Describes to operators the job's state as the replica shows it, and its unfinished
   * dependencies.
   */
  String explain(String uid) {
    Optional<JobState> job = statuses.state(uid);
    if (job.isEmpty()) {
      return uid + " is not known here";
    }
    if (!pipelines.isBlocked(uid)) {
      return uid + " is " + job.get().status().wireName() + " and awaits nothing";
    }
    if (!pipelines.graph().areDependenciesKnown(uid)) {
      return uid + " is queued; the list of jobs that it awaits is not read yet";
    }
    return explainDependencies(uid, pipelines.graph());
  }

  private String explainDependencies(String uid, DependencyGraph graph) {
    List<String> unfinished = graph.unfinishedDependenciesOf(uid);
    String described =
        unfinished.stream()
            .limit(MAX_EXPLAINED_DEPENDENCIES)
            .map(this::describe)
            .collect(joining(", "));
    return uid
        + " is queued and awaits "
        + unfinished.size()
        + " of "
        + graph.dependencyCount(uid)
        + " jobs: "
        + described
        + (unfinished.size() > MAX_EXPLAINED_DEPENDENCIES ? ", ..." : "");
  }

  private String describe(String uid) {
    String status =
        statuses.state(uid).map(job -> job.status().wireName()).orElse("not known here");
    int unfinished =
        pipelines.isBlocked(uid) ? pipelines.graph().unfinishedDependenciesOf(uid).size() : 0;
    return uid + " (" + status + (unfinished > 0 ? ", awaits " + unfinished : "") + ")";
  }
}
