package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ploverspindle.JobSpecFixtures;
import org.ploverspindle.NoOpLeaderNotifier;
import org.ploverspindle.api.ApiResponse;
import org.ploverspindle.api.JobViews;
import org.ploverspindle.api.StateWriteAccess;
import org.ploverspindle.api.UserRequests;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Priority;
import org.ploverspindle.model.Resources;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;

/** The user API of several controllers over one state service, without a leader. */
final class UserApiCluster {
  private static final long TIMEOUT_MS = 2_500;

  /** The user API of one controller, with its own connection to the state service. */
  final class ApiController implements StateStore {
    final SimClock.Process process = clock.new Process(random.nextInt(1_000_000), 1, 0);
    final Replica replica = new Replica(process, this, Keys.PREFIX, 700, new SplittableRandom(1));
    final AcceptedJobIndex specs = new AcceptedJobIndex(replica);
    final Pipelines pipelines = new Pipelines(process, replica, specs);
    final UserRequests requests;
    boolean partitioned;

    ApiController(int i, Settings settings) {
      Catalogue catalogue = new Catalogue(settings.zones());
      catalogue.update(
          List.of(
              new MachineType(
                  "small", Resources.offered(4, 0, 16), 40, 1, 0.3, 0.1, 5, settings.zones())));
      double share = settings.stateLimits().changesPerS() * 0.12;
      requests =
          new UserRequests(
              process,
              new JobViews(replica, specs, pipelines, new ProgressCounts(replica, specs)),
              new StateWriteAccess(
                  this,
                  new TokenBucket(process, Math.max(1, share), Math.max(3, share)),
                  "n" + i,
                  new NoOpLeaderNotifier()),
              catalogue,
              settings);
      // The share of one of seven controllers at 60 requests per second, as ms between reads.
      replica.setReadInterval(220);
      replica.start();
    }

    private <T> void call(Supplier<T> execute, T refused, T unknown, Consumer<T> then) {
      boolean[] answered = {false};
      Consumer<T> once =
          result -> {
            if (!answered[0]) {
              answered[0] = true;
              process.schedule(0, () -> then.accept(result));
            }
          };
      clock.after(TIMEOUT_MS, () -> once.accept(unknown));
      Runnable request =
          () -> {
            T result = !partitioned && state.admitsRequest() ? execute.get() : refused;
            if (random.nextDouble() >= lossShare) {
              clock.after(1 + random.nextInt(8), () -> once.accept(result));
            }
          };
      boolean late = random.nextDouble() < lossShare / 2;
      clock.after(late ? 2_000 + random.nextInt(6_000) : 1 + random.nextInt(8), request);
    }

    @Override
    public void commit(Transaction txn, Consumer<TransactionResult> then) {
      call(
          () -> commitAndCheck(txn),
          new TransactionResult.Refused(503),
          new TransactionResult.Unknown(),
          then);
    }

    @Override
    public void readPage(String prefix, String after, int size, Consumer<PageResult> then) {
      PageResult failed = new PageResult.Failed();
      call(() -> state.readPage(prefix, after, size), failed, failed, then);
    }

    @Override
    public void readChanges(String prefix, long revision, Consumer<ChangesResult> then) {
      ChangesResult failed = new ChangesResult.Failed();
      call(() -> state.readChanges(prefix, revision), failed, failed, then);
    }

    @Override
    public void openLease(long ttlMs, Consumer<Optional<Long>> then) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void renewLease(long lease, Consumer<Renewal> then) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void closeLease(long lease) {
      throw new UnsupportedOperationException();
    }
  }

  /** A response: its HTTP status, the job status in it, and the ms from request to response. */
  record Answer(int status, String state, long tookMs) {}

  final SimClock clock = new SimClock();
  final Random random;
  final SimStateStore state;
  final List<ApiController> controllers = new ArrayList<>();
  final Set<String> writtenKeys = new HashSet<>();
  private final Settings settings;

  /**
   * Share of responses that are lost; half that share of the requests is executed 2 to 8 s late.
   */
  double lossShare;

  int changeCount;

  UserApiCluster(long seed, int count, Settings.StateLimits limits) {
    random = new Random(seed);
    SimulatedCluster.Deployment small = SimulatedCluster.Deployment.small(count, 10, List.of("a"));
    settings =
        SimulatedCluster.settings(
            "n0",
            new SimulatedCluster.Deployment(
                count,
                10,
                small.zones(),
                small.workers(),
                limits,
                small.cloud(),
                small.teams(),
                small.policy()));
    state = new SimStateStore(clock, limits);
    for (int i = 0; i < count; i++) {
      restart(i);
    }
    advance(2_000);
  }

  /** Starts a process of the controller, with an empty replica, in place of the former if any. */
  void restart(int node) {
    if (node < controllers.size()) {
      controllers.get(node).process.kill();
      controllers.set(node, new ApiController(node, settings));
    } else {
      controllers.add(new ApiController(node, settings));
    }
  }

  TransactionResult commitAndCheck(Transaction txn) {
    TransactionResult result = state.commit(txn);
    if (result instanceof TransactionResult.Committed) {
      txn.changes().forEach(this::checkDependencyListWritten);
      changeCount += txn.changes().size();
      txn.changes().forEach(change -> writtenKeys.add(change.key()));
    }
    return result;
  }

  /** Every controller can read a job once it is written: its dependency list must come first. */
  private void checkDependencyListWritten(Change change) {
    if (change instanceof Change.Put put && put.key().startsWith(Keys.JOB_BATCHES)) {
      for (JsonNode job : put.value()) {
        if (JobRecord.storedDependencies(job)
            instanceof JobRecord.StoredDependencies.Separate list) {
          for (int i = 0; i < list.parts(); i++) {
            String part = Keys.dependencies(list.name(), i);
            if (!writtenKeys.contains(part)) {
              throw new IllegalStateException(
                  "a job is written before this part of its dependency list: " + part);
            }
          }
        }
      }
    }
  }

  void advance(long ms) {
    clock.runUntil(clock.nowMs() + ms);
  }

  /** Writes the job's completion with the conditions that a leader uses. */
  void commitCompletion(String uid) {
    TransactionResult result =
        commitAndCheck(
            new Transaction(
                List.of(
                    new Condition(Keys.completion(uid), 0),
                    new Condition(Keys.cancellation(uid), 0)),
                List.of(new Change.Put(Keys.completion(uid), Cbor.map().put("tasks", 1)))));
    if (!(result instanceof TransactionResult.Committed)) {
      throw new IllegalStateException(uid + ": its completion was not committed: " + result);
    }
  }

  static JobSpec job(String uid, List<String> dependencies) {
    JobSpec spec = JobSpecFixtures.batch(uid, "c", "blue", Priority.NORMAL, 1, 1, 1, 10, 0);
    return JobSpecFixtures.withDependencies(spec, dependencies.toArray(String[]::new));
  }

  static ObjectNode body(String uid, List<String> dependencies) {
    return Cbor.readMap(SimulatedCluster.encode(job(uid, dependencies))).orElseThrow();
  }

  void submit(int node, String uid, List<String> dependencies, Consumer<Answer> then) {
    controllers.get(node).requests.submit(Cbor.write(body(uid, dependencies)), answerHandler(then));
  }

  void poll(int node, String uid, Consumer<Answer> then) {
    controllers.get(node).requests.poll(uid, answerHandler(then));
  }

  void cancel(int node, String uid, Consumer<Answer> then) {
    controllers.get(node).requests.cancel(uid, answerHandler(then));
  }

  Consumer<ApiResponse> answerHandler(Consumer<Answer> then) {
    long sentMs = clock.nowMs();
    return response ->
        then.accept(
            new Answer(
                response.status(),
                Cbor.readMap(response.body()).orElseThrow().path("status").asText(),
                clock.nowMs() - sentMs));
  }

  /** Sends a request and advances the clock until its response arrives, for at most 10 s. */
  Answer awaitAnswer(Consumer<Consumer<Answer>> ask) {
    List<Answer> heard = new ArrayList<>();
    ask.accept(heard::add);
    long untilMs = clock.nowMs() + 10_000;
    while (heard.isEmpty() && clock.nowMs() < untilMs) {
      advance(1);
    }
    return heard.get(0);
  }

  Answer submit(int node, String uid, List<String> dependencies) {
    return awaitAnswer(then -> submit(node, uid, dependencies, then));
  }

  Answer poll(int node, String uid) {
    return awaitAnswer(then -> poll(node, uid, then));
  }

  Answer cancel(int node, String uid) {
    return awaitAnswer(then -> cancel(node, uid, then));
  }
}
