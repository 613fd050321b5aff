package org.ploverspindle.controller;

import java.util.Optional;
import org.ploverspindle.leadership.Election;
import org.ploverspindle.leadership.Leader;
import org.ploverspindle.leases.FencingRejections;
import org.ploverspindle.pipelines.Pipelines;

/** Renders the status page as text. Its keys are an interface: tools of operators read them. */
final class StatusPage {
  private final String controllerName;
  private final Election election;
  private final Pipelines pipelines;
  private final FencingRejections rejections;

  StatusPage(
      String controllerName, Election election, Pipelines pipelines, FencingRejections rejections) {
    this.controllerName = controllerName;
    this.election = election;
    this.pipelines = pipelines;
    this.rejections = rejections;
  }

  /**
   * Returns the text of the page.
   *
   * @param ready whether users should be sent to this controller
   * @param localLeader the leader if this controller leads, and empty otherwise
   * @param readinessReason why this controller is or is not ready
   * @param peers the other controllers, and whether they are heard
   */
  String render(boolean ready, Optional<Leader> localLeader, String readinessReason, String peers) {
    return "member="
        + controllerName
        + " ready="
        + ready
        + " leader="
        + election.leaderName().orElse("none")
        + " waiting="
        + pipelines.blockedJobs()
        + localLeader.map(StatusPage::leaderFields).orElse("")
        + "\n"
        + election.summary()
        + " "
        + rejections.summary()
        + "\nreadiness="
        + readinessReason
        + " peers="
        + peers;
  }

  private static String leaderFields(Leader leader) {
    return " token=" + leader.term().fencingToken() + " " + leader.summary();
  }
}
