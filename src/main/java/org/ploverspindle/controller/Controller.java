package org.ploverspindle.controller;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.ploverspindle.api.ApiResponse;
import org.ploverspindle.api.JobViews;
import org.ploverspindle.api.StateWriteAccess;
import org.ploverspindle.api.UserApi;
import org.ploverspindle.api.UserRequests;
import org.ploverspindle.cloud.CloudClient;
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
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;

/**
 * One controller without its sockets. It wires the replica, the election, the handling of users'
 * requests and, while this controller leads, the leader of the term. All methods must be called on
 * the event loop, except for {@link #isReady}.
 */
public final class Controller implements UserApi.RequestHandler {
  private static final long IDLE_READ_INTERVAL_MS = 700;
  private static final long READINESS_INTERVAL_MS = 500;
  private static final long PEER_HEARTBEAT_INTERVAL_MS = 2_000;
  private static final long PACK_INTERVAL_MS = 60_000;
  private static final long MISDIRECTED_COUNT_INTERVAL_MS = 1_000;

  private final Scheduler scheduler;
  private final Settings settings;
  private final String controllerName;
  private final Peers peers;
  private final RequestRates requestRates;
  private final Replica replica;
  private final Catalogue catalogue;
  private final Election election;
  private final AcceptedJobIndex acceptedJobs;
  private final Pipelines pipelines;
  private final UserRequests userRequests;
  private final LeaderContext leaderContext;
  private final HeartbeatAdmission heartbeatAdmission;
  private final StateReachability stateReachability;
  private final PeerObservations peerObservations;
  private final PeerMessageHandler peerMessages;
  private final MachineTypeLoader machineTypes;
  private final Readiness readiness;
  private final StatusPage statusPage;
  private final CancellableGroup periodicTasks = new CancellableGroup();
  private Optional<Leader> leader = Optional.empty();

  /** The clients of the services and processes that the controller reaches over the network. */
  public record Services(StateStore store, CloudClient cloud, WorkerClient workers, Peers peers) {}

  /** Creates a controller that does nothing before {@link #start} is called. */
  public Controller(
      Scheduler scheduler,
      Services services,
      Settings settings,
      Policy policy,
      RandomGenerator random) {
    StateStore store = services.store();
    this.scheduler = scheduler;
    this.settings = settings;
    this.controllerName = settings.controllerName();
    this.peers = services.peers();
    this.requestRates = new RequestRates(settings);
    this.replica = new Replica(scheduler, store, Keys.PREFIX, IDLE_READ_INTERVAL_MS, random);
    this.stateReachability =
        new StateReachability(scheduler, replica, store, peers, controllerName);
    this.peerObservations =
        new PeerObservations(
            scheduler,
            settings.otherControllers().stream().map(Settings.OtherController::name).toList());
    this.catalogue = new Catalogue(settings.zones());
    SafetyTiming timing = SafetyTiming.of(settings.workers(), settings.quota().cores());
    this.election =
        new Election(scheduler, store, replica, random, timing, controllerName, new TermEvents());
    this.acceptedJobs = new AcceptedJobIndex(replica);
    this.pipelines = new Pipelines(scheduler, replica, acceptedJobs);
    this.userRequests = newUserRequests(store, random);
    FencingRejections rejections = new FencingRejections();
    this.leaderContext =
        new LeaderContext(
            scheduler,
            random,
            newStateAccess(new FencedStore(store, Keys.LEADER, rejections)),
            new LeaderContext.ExternalServices(services.cloud(), services.workers()),
            new LeaderContext.Configuration(settings, policy, timing, catalogue),
            rejections);
    this.heartbeatAdmission =
        new HeartbeatAdmission(scheduler, timing, election, peers, controllerName, () -> leader);
    this.peerMessages =
        new PeerMessageHandler(
            replica, election, stateReachability, peerObservations, () -> leader);
    this.machineTypes =
        new MachineTypeLoader(scheduler, services.cloud(), replica, catalogue, random);
    this.readiness = newReadiness();
    this.statusPage = new StatusPage(controllerName, election, pipelines, rejections);
  }

  private UserRequests newUserRequests(StateStore store, RandomGenerator random) {
    ProgressCounts counts = new ProgressCounts(replica, acceptedJobs);
    String nonce =
        controllerName + "-" + Long.toString(random.nextLong() >>> 1, Character.MAX_RADIX);
    RoutingLeaderNotifier leaderNotifier =
        new RoutingLeaderNotifier(replica, election, peers, controllerName, () -> leader);
    return new UserRequests(
        scheduler,
        new JobViews(replica, acceptedJobs, pipelines, counts),
        new StateWriteAccess(
            store, requestRates.acceptanceWriteBudget(scheduler), nonce, leaderNotifier),
        catalogue,
        settings);
  }

  private LeaderContext.StateAccess newStateAccess(StateStore fencedStore) {
    return new LeaderContext.StateAccess(
        fencedStore, replica, acceptedJobs, pipelines, requestRates.leaderWriteBudget(scheduler));
  }

  private Readiness newReadiness() {
    ReadinessRule rule =
        new ReadinessRule(
            scheduler, replica, peerObservations, controllerName, election::leaderName);
    return new Readiness(
        scheduler,
        replica,
        machineTypes,
        election,
        stateReachability,
        rule,
        () -> leader.map(Leader::isFailingToWrite).orElse(false),
        () -> periodicTasks.add(election.start()));
  }

  // ---- lifecycle

  /**
   * Begins to read the state service. The election starts once the replica is loaded and the
   * machine types are known.
   */
  public void start() {
    replica.setReadInterval(requestRates.followerReadIntervalMs());
    replica.setLoadRate(requestRates.loadRequestsPerS());
    periodicTasks.add(replica.start());
    periodicTasks.add(scheduler.scheduleWithFixedDelay(PACK_INTERVAL_MS, acceptedJobs::packEnded));
    periodicTasks.add(scheduler.scheduleWithFixedDelay(READINESS_INTERVAL_MS, readiness::update));
    periodicTasks.add(
        scheduler.scheduleWithFixedDelay(
            PEER_HEARTBEAT_INTERVAL_MS, stateReachability::sendHeartbeat));
    periodicTasks.add(
        scheduler.scheduleWithFixedDelay(
            MISDIRECTED_COUNT_INTERVAL_MS, heartbeatAdmission::sendMisdirectedCount));
    machineTypes.loadFromCloud(readiness::update);
  }

  /**
   * Stops all periodic work and closes the leader, then resigns so that other controllers need not
   * wait for the lease to expire.
   */
  public void stop() {
    periodicTasks.cancel();
    leader.ifPresent(Leader::close);
    election.resign();
  }

  /** Returns whether this controller leads, as far as it knows. */
  public boolean isLeading() {
    return leader.isPresent();
  }

  /** Returns whether users should be sent to this controller. May be called on any thread. */
  public boolean isReady() {
    return readiness.isReady();
  }

  /** Handles a message from another controller. */
  public void handlePeerMessage(PeerMessage message) {
    peerMessages.handle(message);
  }

  /**
   * Creates a leader for each term of this controller, closes it when the term ends, and announces
   * both to the other controllers.
   */
  private final class TermEvents implements Election.Listener {
    @Override
    public void elected(Term term) {
      replica.setReadInterval(requestRates.leaderReadIntervalMs());
      Leader elected = new Leader(leaderContext, term, election);
      leader = Optional.of(elected);
      elected.start();
      peers.broadcast(new PeerMessage.Leading(controllerName, term.fencingToken()));
    }

    @Override
    public void ended(Term term, String cause) {
      replica.setReadInterval(requestRates.followerReadIntervalMs());
      leader.ifPresent(Leader::close);
      leader = Optional.empty();
      peers.broadcast(new PeerMessage.Resigned(controllerName, term.fencingToken()));
    }
  }

  // ---- requests from users, workers and operators

  @Override
  public void submit(byte[] body, Consumer<ApiResponse> responder) {
    userRequests.submit(body, responder);
  }

  @Override
  public void poll(String uid, Consumer<ApiResponse> responder) {
    userRequests.poll(uid, responder);
  }

  @Override
  public void cancel(String uid, Consumer<ApiResponse> responder) {
    userRequests.cancel(uid, responder);
  }

  @Override
  public void heartbeat(byte[] body, Consumer<ApiResponse> responder) {
    heartbeatAdmission.accept(body, responder);
  }

  @Override
  public void status(Consumer<ApiResponse> responder) {
    responder.accept(
        ApiResponse.operatorText(
            statusPage.render(isReady(), leader, readiness.summary(), peerObservations.summary())));
  }

  @Override
  public void explainJob(String uid, Consumer<ApiResponse> responder) {
    responder.accept(ApiResponse.operatorText(userRequests.explain(uid)));
  }
}
