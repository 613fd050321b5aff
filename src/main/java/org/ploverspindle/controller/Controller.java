package org.ploverspindle.controller;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.ploverspindle.api.ApiResponse;
import org.ploverspindle.api.JobViews;
import org.ploverspindle.api.LeaderNotifier;
import org.ploverspindle.api.StateWrites;
import org.ploverspindle.api.UserApi;
import org.ploverspindle.api.UserRequests;
import org.ploverspindle.cloud.CloudClient;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.HeartbeatCodec;
import org.ploverspindle.cluster.WorkerClient;
import org.ploverspindle.eventloop.CancellableGroup;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.leadership.Election;
import org.ploverspindle.leadership.Leader;
import org.ploverspindle.leadership.LeaderContext;
import org.ploverspindle.leases.FencedStore;
import org.ploverspindle.leases.FencingRejections;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.SafetyTiming;
import org.ploverspindle.model.Term;
import org.ploverspindle.peers.PeerMessage;
import org.ploverspindle.peers.Peers;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.MachineTypesRecord;
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller without its sockets: the copy of the state, the election, users' requests, and at
 * times a leader. Everything here runs on the scheduler's one thread of control.
 */
public final class Controller implements Election.Listener, UserApi.RequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  private static final double ACCEPTING_SHARE = 0.12;

  private final Settings settings;
  private final Scheduler loop;
  private final Replica replica;
  private final CloudClient cloud;
  private final Catalogue catalogue;
  private final SafetyTiming timing;
  private final Election election;
  private final UserRequests requests;
  private final Pipelines pipelines;
  private final TokenBucket writes;
  private final LeaderContext leaderContext;
  private final Peers peers;
  private final CancellableGroup duties = new CancellableGroup();
  private final FencingRejections refused = new FencingRejections();
  private Optional<Leader> leader = Optional.empty();
  private final StateReachability stateReachability;
  private int misdirected;
  private boolean started;
  private volatile boolean ready;

  public Controller(
      Scheduler loop,
      StateStore store,
      CloudClient cloud,
      WorkerClient workers,
      Peers peers,
      Settings settings,
      Policy policy,
      RandomGenerator random) {
    this.settings = settings;
    this.loop = loop;
    this.cloud = cloud;
    this.peers = peers;
    this.replica = new Replica(loop, store, Keys.PREFIX, 700);
    this.stateReachability = new StateReachability(loop, replica, store, peers, settings.member());
    this.catalogue = new Catalogue(settings.zones());
    this.timing = SafetyTiming.of(settings.workers(), settings.quota().cores());
    this.writes =
        new TokenBucket(
            loop,
            settings.writeLimits().writeRps() * 0.65,
            Math.max(2, settings.writeLimits().writeRps() * 0.4));
    this.election = new Election(loop, store, replica, random, timing, settings.member(), this);
    // Submissions and cancellations have a share of their own on every node: on the leader they
    // would wait behind what its own work is allowed. One change takes many submissions, so that
    // the shares are seldom used up, and are not divided by the number of nodes.
    TokenBucket accepting =
        new TokenBucket(
            loop,
            Math.max(1, settings.writeLimits().writeRps() * ACCEPTING_SHARE),
            Math.max(3, settings.writeLimits().writeRps() * ACCEPTING_SHARE));
    AcceptedJobIndex specs = new AcceptedJobIndex(replica);
    this.pipelines = new Pipelines(loop, replica, specs);
    ProgressCounts counts = new ProgressCounts(replica);
    String nonce = settings.member() + "-" + Long.toString(random.nextLong() >>> 1, 36);
    this.requests =
        new UserRequests(
            loop,
            new JobViews(replica, specs, pipelines, counts),
            new StateWrites(store, accepting, nonce, leaderHints()),
            catalogue,
            settings);
    this.leaderContext =
        new LeaderContext(
            loop,
            random,
            new LeaderContext.StateAccess(
                new FencedStore(store, Keys.LEADER, refused), replica, specs, pipelines, writes),
            new LeaderContext.ExternalServices(cloud, workers),
            new LeaderContext.Configuration(settings, policy, timing, catalogue),
            refused);
  }

  /** What was written here is news for whoever leads. */
  private LeaderNotifier leaderHints() {
    return new LeaderNotifier() {
      @Override
      public void cancelling() {
        // The leader's own replica shows its node's cancellations without a read.
        if (leader.isEmpty()) {
          hintToLeader();
        }
      }

      @Override
      public void cancelled(List<Change.Put> cancellations, long ledger) {
        if (leader.isPresent()) {
          // It starts nothing of a job whose user is about to be told that it is cancelled.
          cancellations.forEach(put -> replica.applyCreated(put, ledger));
        } else {
          hintToLeader();
        }
      }

      @Override
      public void accepted() {
        if (leader.isPresent()) {
          replica.readBarrier(ok -> {});
        } else {
          hintToLeader();
        }
      }
    };
  }

  private void hintToLeader() {
    election
        .leaderName()
        .ifPresent(other -> peers.send(other, new PeerMessage.StateChanged(settings.member())));
  }

  /**
   * A hint from another controller. All that it can do is to have the state service read sooner.
   */
  public void handlePeerMessage(PeerMessage record) {
    if (record instanceof PeerMessage.StateChanged) {
      if (leader.isPresent()) {
        replica.readBarrier(ok -> {});
      }
    } else if (record instanceof PeerMessage.MisdirectedHeartbeats strays) {
      leader.ifPresent(s -> s.misdirectedHeartbeats(strays.count()));
    } else if (record instanceof PeerMessage.Leading leading) {
      election.observeToken(leading.token());
    } else if (record instanceof PeerMessage.ReachabilityProbe asking) {
      stateReachability.replyToProbe(asking.member());
    } else if (record instanceof PeerMessage.ReachabilityReply) {
      stateReachability.replyReceived();
    } else {
      replica.readBarrier(ok -> {});
    }
  }

  /**
   * The requests of all nodes together stay below the state service's rate: a fifth is for the
   * leader's reads, not quite half for the reads of all others, and the rest for writes (of which
   * there are far fewer than requests) and renewals.
   */
  private long leaderSpacingMs() {
    return Math.max(60, Math.round(1000 / (settings.writeLimits().rps() * 0.2)));
  }

  private long followerSpacingMs() {
    double each = settings.writeLimits().rps() * 0.45 / Math.max(1, settings.nodes() - 1);
    return Math.max(150, Math.round(1000 / each));
  }

  public void start() {
    replica.setReadInterval(followerSpacingMs());
    duties.add(replica.start());
    duties.add(loop.every(500, this::updateReadiness));
    duties.add(loop.every(1_000, this::reportMisdirected));
    learnTypes();
  }

  public void stop() {
    duties.cancel();
    leader.ifPresent(Leader::close);
    election.resign();
  }

  public boolean leads() {
    return leader.isPresent();
  }

  /** Can this node do its own part? Read from other threads. */
  public boolean ready() {
    return ready;
  }

  /**
   * A node leads only when it knows the machine types: without them no record can be understood. It
   * takes users only while it can answer them, unless nobody can.
   */
  private void updateReadiness() {
    if (!catalogue.isKnown()) {
      MachineTypesRecord.read(replica).ifPresent(catalogue::update);
    }
    boolean failing = leader.map(Leader::isFailingToWrite).orElse(false);
    stateReachability.probeIfStale(failing);
    if (!started && replica.isLoaded() && catalogue.isKnown()) {
      started = true;
      duties.add(election.start());
    }
    boolean now = started && !stateReachability.isUnreachableHereOnly();
    if (now != ready) {
      LOG.info(now ? "ready" : "not ready: others reach the state service, and this one does not");
      ready = now;
    }
    if (stateReachability.isReachableByPeers()
        && (failing || election.isAuthoritative() && stateReachability.isUnreachableHereOnly())) {
      // The lease is renewed and nothing else is answered: the lead would be kept for nothing.
      election.resignWithBackoff("the state service serves others, and refuses this leader");
    }
  }

  private void learnTypes() {
    cloud.listMachineTypes(
        answer -> {
          answer.ifPresent(catalogue::update);
          if (!catalogue.isKnown()) {
            loop.schedule(1_500, this::learnTypes);
          } else {
            updateReadiness();
          }
        });
  }

  // ---- leading

  @Override
  public void elected(Term term) {
    replica.setReadInterval(leaderSpacingMs());
    Leader fresh = new Leader(leaderContext, term, election);
    leader = Optional.of(fresh);
    fresh.start();
    peers.broadcast(new PeerMessage.Leading(settings.member(), term.fencingToken()));
  }

  @Override
  public void ended(Term term, String cause) {
    replica.setReadInterval(followerSpacingMs());
    leader.ifPresent(Leader::close);
    leader = Optional.empty();
    peers.broadcast(new PeerMessage.Resigned(settings.member(), term.fencingToken()));
  }

  // ---- requests of users and workers

  @Override
  public void submit(byte[] body, Consumer<ApiResponse> then) {
    requests.submit(body, then);
  }

  @Override
  public void poll(String uid, Consumer<ApiResponse> then) {
    requests.poll(uid, then);
  }

  @Override
  public void cancel(String uid, Consumer<ApiResponse> then) {
    requests.cancel(uid, then);
  }

  @Override
  public void heartbeat(byte[] body, Consumer<ApiResponse> then) {
    Optional<Heartbeat> report = HeartbeatCodec.decode(body);
    if (report.isEmpty()) {
      LOG.warn("a malformed report of {} bytes is refused", body.length);
      then.accept(new ApiResponse(400, new byte[0], 0));
      return;
    }
    Optional<Term> term = election.term();
    if (leader.isEmpty() || term.isEmpty()) {
      then.accept(redirect(report.get()));
      return;
    }
    if (term.get().isBefore(report.get().fencingToken())) {
      election.deposed("a worker has seen a higher token");
      then.accept(redirect(report.get()));
      return;
    }
    if (loop.nowMs() > election.lastConfirmedMs() + timing.heartbeatGraceMs()) {
      // Any longer, and a cancellation that we can't know of would come too late for a worker.
      then.accept(ApiResponse.retryLater(503, "the state is not known", 1));
      return;
    }
    leader
        .get()
        .handleHeartbeat(
            report.get(),
            a ->
                then.accept(
                    new ApiResponse(
                        200, HeartbeatCodec.encodeResponse(a.fencingToken(), a.commands()), 0)));
  }

  private void reportMisdirected() {
    if (misdirected > 0) {
      int reports = misdirected;
      election
          .leaderName()
          .ifPresent(
              l ->
                  peers.send(l, new PeerMessage.MisdirectedHeartbeats(settings.member(), reports)));
      misdirected = 0;
    }
  }

  /**
   * To the leader. Whose machine has had an answer of that leader's and comes here all the same is
   * a sign that its answers are lost; one that has just come up, or was another leader's, is not.
   */
  private ApiResponse redirect(Heartbeat report) {
    Optional<String> other = election.leaderName().filter(name -> !name.equals(settings.member()));
    boolean led = election.leaderToken().map(t -> report.fencingToken() >= t).orElse(false);
    misdirected += other.isPresent() && led ? 1 : 0;
    return other
        .map(name -> ApiResponse.redirectToLeader(name))
        .orElseGet(() -> ApiResponse.retryLater(503, "no leader is known", 1));
  }

  @Override
  public void status(Consumer<ApiResponse> then) {
    then.accept(
        ApiResponse.text(
            "member="
                + settings.member()
                + " ready="
                + ready
                + " leader="
                + election.leaderName().orElse("none")
                + " waiting="
                + pipelines.waiting()
                + leader
                    .map(s -> " token=" + s.term().fencingToken() + " " + s.summary())
                    .orElse("")
                + "\n"
                + election.summary()
                + " "
                + refused.summary()));
  }

  @Override
  public void explainJob(String uid, Consumer<ApiResponse> then) {
    then.accept(ApiResponse.text(requests.explain(uid)));
  }
}
