package org.ploverspindle.controller;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ploverspindle.api.ApiResponse;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatCodec;
import org.ploverspindle.cluster.HeartbeatHandler;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.leadership.Election;
import org.ploverspindle.leadership.Leader;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.peers.PeerMessage;
import org.ploverspindle.peers.Peers;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes heartbeats to the leader if it runs on this controller, and otherwise redirects the
 * workers to the controller that leads. Rejects malformed heartbeats, and heartbeats that can't be
 * answered safely.
 */
final class HeartbeatAdmission {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatAdmission.class);
  private static final int HTTP_OK = 200;
  private static final int HTTP_BAD_REQUEST = 400;
  private static final int HTTP_UNAVAILABLE = 503;

  private final Scheduler scheduler;
  private final SafetyTiming timing;
  private final Election election;
  private final Peers peers;
  private final String controllerName;
  private final Supplier<Optional<Leader>> localLeader;
  private int misdirectedCount;

  /**
   * @param controllerName the name of this controller
   * @param localLeader supplies the leader while this controller leads, and empty otherwise
   */
  HeartbeatAdmission(
      Scheduler scheduler,
      SafetyTiming timing,
      Election election,
      Peers peers,
      String controllerName,
      Supplier<Optional<Leader>> localLeader) {
    this.scheduler = scheduler;
    this.timing = timing;
    this.election = election;
    this.peers = peers;
    this.controllerName = controllerName;
    this.localLeader = localLeader;
  }

  /**
   * Responds to an encoded heartbeat.
   *
   * @param responder is called exactly once, immediately or after a short delay
   */
  void accept(byte[] body, Consumer<ApiResponse> responder) {
    Optional<Heartbeat> heartbeat = HeartbeatCodec.decode(body);
    if (heartbeat.isEmpty()) {
      LOG.warn("heartbeat rejected, malformed: bytes={}", body.length);
      responder.accept(new ApiResponse(HTTP_BAD_REQUEST, new byte[0], 0));
    } else {
      accept(heartbeat.get(), responder);
    }
  }

  private void accept(Heartbeat heartbeat, Consumer<ApiResponse> responder) {
    Optional<Term> term = election.term();
    Optional<Leader> leader = localLeader.get();
    if (leader.isEmpty() || term.isEmpty()) {
      responder.accept(redirect(heartbeat));
    } else if (term.get().isDeposedBy(heartbeat.fencingToken())) {
      election.endTerm("a worker has seen a higher token");
      responder.accept(redirect(heartbeat));
    } else if (isConfirmationTooOld()) {
      responder.accept(ApiResponse.retryLater(HTTP_UNAVAILABLE, "the state is not known", 1));
    } else {
      leader.get().handleHeartbeat(heartbeat, response -> responder.accept(encode(response)));
    }
  }

  /**
   * Returns whether the leadership of this controller was last confirmed longer ago than the
   * heartbeat grace. A response renews the worker lease: if a leader responded without a recent
   * read of the state service, the worker could run tasks for too long whose cancellation this
   * leader can't know of.
   */
  private boolean isConfirmationTooOld() {
    return scheduler.nowMs() > election.lastConfirmedMs() + timing.heartbeatGraceMs();
  }

  private static ApiResponse encode(HeartbeatHandler.Response response) {
    byte[] body = HeartbeatCodec.encodeResponse(response.fencingToken(), response.commands());
    return new ApiResponse(HTTP_OK, body, 0);
  }

  /**
   * Returns a response that redirects the worker to the leader, or that asks it to retry if no
   * other controller is known to lead. Counts the heartbeat as misdirected if the worker has
   * already had a response from that leader: a worker that then turns to this controller is a sign
   * that the leader's responses are lost. The heartbeat of a worker that has just started, or that
   * has had responses from earlier leaders only, is not counted.
   */
  private ApiResponse redirect(Heartbeat heartbeat) {
    Optional<String> otherLeader =
        election.leaderName().filter(name -> !name.equals(controllerName));
    boolean hadLeaderResponse =
        election.leaderToken().map(token -> heartbeat.fencingToken() >= token).orElse(false);
    misdirectedCount += otherLeader.isPresent() && hadLeaderResponse ? 1 : 0;
    return otherLeader
        .map(ApiResponse::redirectToLeader)
        .orElseGet(() -> ApiResponse.retryLater(HTTP_UNAVAILABLE, "no leader is known", 1));
  }

  /**
   * Sends the leader the number of misdirected heartbeats since the last call, unless it is 0. The
   * count restarts at 0 even if no leader is known.
   */
  void sendMisdirectedCount() {
    if (misdirectedCount == 0) {
      return;
    }
    PeerMessage message = new PeerMessage.MisdirectedHeartbeats(controllerName, misdirectedCount);
    election.leaderName().ifPresent(leader -> peers.send(leader, message));
    misdirectedCount = 0;
  }
}
