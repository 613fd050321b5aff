package org.ploverspindle.api;

import static java.util.stream.Collectors.joining;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.pipelines.DependencyGraph;
import org.ploverspindle.pipelines.Pipelines;

/** Answers questions about jobs. */
final class QueryService {
  private static final int NOT_FOUND = 404;
  private static final int MAX_EXPLAINED_DEPENDENCIES = 50;

  private final LinearizableReads reads;
  private final JobStatusReader statuses;
  private final Pipelines pipelines;

  QueryService(LinearizableReads reads, JobStatusReader states, Pipelines pipelines) {
    this.reads = reads;
    this.statuses = states;
    this.pipelines = pipelines;
  }

  /** Answers a poll, no older than what any node told before it came. */
  void poll(String uid, Consumer<ApiResponse> then) {
    if (!SubmissionCodec.validUid(uid)) {
      then.accept(noSuchJob());
    } else if (statuses.isTerminal(uid)) {
      // What is over stays so: no newer answer can differ.
      then.accept(statuses.response(uid).orElseThrow());
    } else if (!reads.isLoaded()) {
      then.accept(JobStatusReader.stateUnavailable());
    } else {
      // Polls come every few seconds for each job, and nobody waits for one to go on.
      reads.lowPriorityReadBarrier(
          fresh ->
              then.accept(
                  fresh
                      ? statuses.response(uid).orElseGet(QueryService::noSuchJob)
                      : JobStatusReader.stateUnavailable()));
    }
  }

  static ApiResponse noSuchJob() {
    return ApiResponse.error(NOT_FOUND, "no such job");
  }

  /** For people: how the replica has the job, and what it awaits. */
  String explain(String uid) {
    Optional<String> status = statuses.state(uid).map(state -> state.path("status").asText());
    if (status.isEmpty()) {
      return uid + " is not known here";
    }
    if (!pipelines.isWaiting(uid)) {
      return uid + " is " + status.get() + " and awaits nothing";
    }
    DependencyGraph graph = pipelines.graph();
    if (!graph.isKnown(uid)) {
      return uid + " is queued; the list of jobs that it awaits is not read yet";
    }
    List<String> unfinished = graph.unfinished(uid);
    String named =
        unfinished.stream()
            .limit(MAX_EXPLAINED_DEPENDENCIES)
            .map(this::describe)
            .collect(joining(", "));
    return uid
        + " is queued and awaits "
        + unfinished.size()
        + " of "
        + graph.dependenciesOf(uid).size()
        + " jobs: "
        + named
        + (unfinished.size() > MAX_EXPLAINED_DEPENDENCIES ? ", ..." : "");
  }

  private String describe(String uid) {
    String status =
        statuses.state(uid).map(state -> state.path("status").asText()).orElse("not known here");
    int others = pipelines.isWaiting(uid) ? pipelines.graph().unfinished(uid).size() : 0;
    return uid + " (" + status + (others > 0 ? ", awaits " + others : "") + ")";
  }
}
