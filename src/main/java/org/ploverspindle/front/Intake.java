package org.ploverspindle.front;

import static java.util.stream.Collectors.joining;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.ploverspindle.cloud.Catalogue;
import org.ploverspindle.cloud.MachineType;
import org.ploverspindle.jobs.JobSpec;
import org.ploverspindle.jobs.Shape;
import org.ploverspindle.loop.Scheduler;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.pipelines.DependencyGraph;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.ProgressRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SpecIndex;
import org.ploverspindle.state.SpecRecord;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TxnResult;
import org.ploverspindle.state.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Users' requests, on any node: nothing is said before it is durable, and nothing from the copy
 * before the copy is as new as the question.
 */
public final class Intake {
  private static final Logger LOG = LoggerFactory.getLogger(Intake.class);
  private static final long BARRIER_LIMIT_MS = 1_400;
  private static final long CREATE_LIMIT_MS = 2_500;
  private static final int MOST_WAITING = 200;

  /** One that shares its transaction with jobs that end meanwhile is tried again for so long. */
  private static final long CANCEL_LIMIT_MS = 2_000;

  /** The copy is read more often than that: who waits for the next read would wait in vain. */
  private static final long STALE_MS = 4_000;

  /** After a refusal for its rate every node keeps to its share of the changes for a while. */
  private static final long STRICT_MS = 5_000;

  /** Beyond the share one write in so long, while the state service refuses nobody. */
  private static final long BEYOND_SHARE_MS = 60;

  private static final double REFUSED_COST = 2;
  private static final int MAX_VALUE_BYTES = 16 * 1024;
  private static final int MAX_TXN_BYTES = 56 * 1024;

  /** A list of dependencies that is not stored by then is gone on with for the user's repeat. */
  private static final long LIST_LIMIT_MS = 3_500;

  /** Afterwards there is so much left for the job itself. */
  private static final long AFTER_LIST_MS = 1_000;

  private static final int MOST_EXPLAINED = 50;

  /** Beyond so many unfinished jobs before it a job is accepted after a read instead. */
  private static final int MOST_GUARDS = 6;

  /** What a user asks for, checked as far as that can be done without the copy. */
  private record Request(
      JobSpec spec,
      JsonNode value,
      Optional<DependenciesRecord> list,
      long cameMs,
      Consumer<Answer> then) {
    int bytes() {
      return Cbor.jsonSize(value) + spec.uid().length() + 4;
    }
  }

  /**
   * A submission on its way into the store, with all who asked for it here meanwhile.
   *
   * @param guards jobs whose cancellation would make "queued" an old answer
   * @param late who asked when it was too late for the write's conditions to speak for them: the
   *     job may have been accepted and called over elsewhere before they asked
   */
  private record Creation(
      JobSpec spec,
      JsonNode value,
      int bytes,
      long cameMs,
      List<String> guards,
      List<Consumer<Answer>> askers,
      List<Consumer<Answer>> late) {
    void answer(Answer answer) {
      askers.forEach(a -> a.accept(answer));
    }

    void answerAll(Answer answer) {
      answer(answer);
      late.forEach(a -> a.accept(answer));
    }

    boolean isGuarded() {
      return spec.dependencies().isEmpty() || !guards.isEmpty();
    }
  }

  private final Scheduler scheduler;
  private final StateStore store;
  private final Replica replica;
  private final Catalogue catalogue;
  private final Settings settings;
  private final TokenBucket writes;
  private final SpecIndex specs;
  private final Pipelines pipelines;
  private final DependenciesWriter lists;
  private final ProgressCounts counts;
  private final Cancellations cancellations;
  private final String nonce;
  private final LeaderHints leaderHints;
  private final int valueBytes;
  private final int chunk;
  private final Deque<Creation> creations = new ArrayDeque<>();
  private final Map<String, Creation> pending = new HashMap<>();

  /** Those of them whose write is out. */
  private final Set<String> sent = new HashSet<>();

  private long batches;
  private boolean creating;
  private boolean flushPlanned;
  private long flushedMs = Long.MIN_VALUE / 2;
  private long refusedMs = Long.MIN_VALUE / 2;

  /**
   * @param nonce names this process's records: no other's, and none of an earlier run's
   * @param leaderHints told of what was written here
   */
  public Intake(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      SpecIndex specs,
      Pipelines pipelines,
      ProgressCounts counts,
      Catalogue catalogue,
      Settings settings,
      TokenBucket writes,
      String nonce,
      LeaderHints leaderHints) {
    this.specs = specs;
    this.pipelines = pipelines;
    this.lists =
        new DependenciesWriter(
            scheduler,
            store,
            replica,
            settings.writeLimits().txnOps(),
            settings.writeLimits().writeRps());
    this.counts = counts;
    this.nonce = nonce;
    this.leaderHints = leaderHints;
    this.valueBytes = Math.min(settings.writeLimits().valueBytes(), MAX_VALUE_BYTES);
    this.scheduler = scheduler;
    this.store = store;
    this.cancellations =
        new Cancellations(
            scheduler,
            store,
            writes,
            settings.writeLimits().txnOps(),
            then -> barrier(then),
            cancellationListener());
    this.replica = replica;
    this.catalogue = catalogue;
    this.settings = settings;
    this.writes = writes;
    this.chunk = ProgressRecord.chunkFor(settings.writeLimits().valueBytes());
  }

  /** Calls with true at the barrier, or with false when it can't be had in the user's time. */
  private void barrier(Consumer<Boolean> then) {
    barrier(replica::barrier, then);
  }

  private void barrier(Consumer<Consumer<Boolean>> read, Consumer<Boolean> then) {
    long cameMs = scheduler.nowMs();
    boolean[] answered = {false};
    Consumer<Boolean> once =
        ok -> {
          if (!answered[0]) {
            answered[0] = true;
            // Where this process stood still in between, others may have said newer things.
            then.accept(ok && scheduler.nowMs() - cameMs <= BARRIER_LIMIT_MS);
          }
        };
    if (isStale()) {
      // It is tried all the same, for those who come later; this one is told at once.
      replica.barrier(ok -> {});
      once.accept(false);
      return;
    }
    read.accept(once);
    scheduler.schedule(BARRIER_LIMIT_MS, () -> once.accept(false));
  }

  private boolean isStale() {
    return scheduler.nowMs() - replica.freshAsOfMs() > STALE_MS;
  }

  // ---- polls

  /** The job's state by the copy; empty when the copy has no such job. */
  private Optional<ObjectNode> state(String uid) {
    Optional<SpecIndex.Spec> spec = specs.get(uid);
    if (spec.isEmpty()) {
      return Optional.empty();
    }
    int tasks = spec.get().value().path("tasks").asInt();
    ObjectNode body = Cbor.map().put("uid", uid);
    if (replica.get(Keys.done(uid)).isPresent()) {
      return Optional.of(body.put("status", "done").put("done", tasks).put("running", 0));
    }
    ProgressCounts.Counts c = counts.of(uid);
    if (aborted(uid)) {
      return Optional.of(body.put("status", "aborted").put("done", c.done()).put("running", 0));
    }
    String status = c.running() > 0 ? "running" : "queued";
    return Optional.of(
        body.put("status", status).put("done", c.done()).put("running", c.running()));
  }

  private boolean over(String uid) {
    return specs.get(uid).isPresent() && (replica.get(Keys.done(uid)).isPresent() || aborted(uid));
  }

  /**
   * By its own cancellation, or by that of a job before it: the copy shows all of them at once, so
   * that this is as new as the copy. While it is loaded it need not be known yet which of two
   * records of a job counts.
   */
  private boolean aborted(String uid) {
    return replica.get(Keys.cancel(uid)).isPresent()
        || replica.loaded() && pipelines.graph().isAborted(uid);
  }

  private static Answer notNow() {
    return Answer.later(503, "the state can't be read now", 1);
  }

  public void poll(String uid, Consumer<Answer> then) {
    if (!SubmissionCodec.validUid(uid)) {
      then.accept(Answer.error(404, "no such job"));
    } else if (over(uid)) {
      // What is over stays so: no newer answer can differ.
      then.accept(Answer.of(200, state(uid).orElseThrow()));
    } else if (!replica.loaded()) {
      then.accept(notNow());
    } else {
      // Polls come every few seconds for each job, and nobody waits for one to go on.
      barrier(
          replica::patientBarrier,
          ok ->
              then.accept(
                  !ok
                      ? notNow()
                      : state(uid)
                          .map(s -> Answer.of(200, s))
                          .orElseGet(() -> Answer.error(404, "no such job"))));
    }
  }

  // ---- submissions

  public void submit(byte[] bytes, Consumer<Answer> then) {
    Optional<ObjectNode> body = Cbor.readMap(bytes);
    if (body.isEmpty()) {
      then.accept(Answer.error(400, "the body must be a CBOR map"));
      return;
    }
    Optional<String> uid = SubmissionCodec.uid(body.get());
    if (uid.isEmpty()) {
      then.accept(Answer.error(400, "missing or invalid: uid"));
      return;
    }
    if (!replica.loaded() || isStale()) {
      replica.barrier(ok -> {});
      then.accept(notNow());
      return;
    }
    if (specs.get(uid.get()).isPresent()) {
      known(uid.get(), then);
      return;
    }
    JobSpec spec;
    try {
      spec = SubmissionCodec.decode(body.get());
    } catch (SubmissionCodec.Malformed e) {
      LOG.info("submission {} is malformed: {}", uid.get(), e.getMessage());
      refuseUnlessKnown(
          uid.get(), Answer.error(400, "missing or invalid: " + e.getMessage()), then);
      return;
    }
    if (!catalogue.known()) {
      then.accept(Answer.later(503, "the machine types are not known yet", 2));
      return;
    }
    Request request = request(spec, then);
    Optional<String> never = neverRuns(spec);
    if (request.bytes() > mostBytes() && spec.types().isPresent()) {
      // Types that the cloud does not name run nothing: a job is not refused for a list of them.
      spec = spec.withTypes(spec.types().get().stream().filter(this::isKnownType).toList());
      request = request(spec, then);
    }
    if (never.isEmpty() && request.bytes() > mostBytes()) {
      never = Optional.of("the job's description is too long to be kept");
    }
    if (never.isPresent()) {
      refuseUnlessKnown(uid.get(), Answer.error(422, never.get()), then);
    } else if (spec.dependencies().isEmpty()) {
      accept(request, List.of());
    } else {
      acceptAwaiting(request);
    }
  }

  private int mostBytes() {
    return valueBytes - 50;
  }

  private Request request(JobSpec spec, Consumer<Answer> then) {
    long now = scheduler.nowMs();
    SpecRecord record = new SpecRecord(spec, scheduler.wallMs(), chunk);
    Request whole = new Request(spec, record.encode(), Optional.empty(), now, then);
    if (spec.dependencies().isEmpty() || whole.bytes() <= mostBytes()) {
      return whole;
    }
    DependenciesRecord list = DependenciesRecord.split(spec.uid(), spec.dependencies(), valueBytes);
    return new Request(spec, record.encode(list), Optional.of(list), now, then);
  }

  private void accept(Request request, List<String> guards) {
    String uid = request.spec().uid();
    Creation same = pending.get(uid);
    if (same != null) {
      // The user asks again while its first request is under way: one record answers both. What
      // comes after the write went out has to be told how things are after it.
      boolean covered = same.isGuarded() && !sent.contains(uid);
      (covered ? same.askers() : same.late()).add(request.then());
      return;
    }
    if (creations.size() >= MOST_WAITING) {
      request.then().accept(Answer.later(429, "too many submissions at once", 2));
      return;
    }
    List<Consumer<Answer>> askers = new ArrayList<>(List.of(request.then()));
    Creation creation =
        new Creation(
            request.spec(),
            request.value(),
            request.bytes(),
            request.cameMs(),
            guards,
            askers,
            new ArrayList<>());
    pending.put(uid, creation);
    creations.add(creation);
    planFlush(4);
  }

  // ---- jobs that await others

  /**
   * A job that was accepted stays so, which makes the copy good enough to accept by. What it may
   * not show is that this very job was accepted elsewhere and called aborted since: either the
   * write excludes that by conditions, or the copy is first read anew.
   */
  private void acceptAwaiting(Request request) {
    JobSpec spec = request.spec();
    Optional<List<String>> guards = guards(spec);
    if (guards.isPresent() && request.list().isEmpty()) {
      accept(request, guards.get());
      return;
    }
    Consumer<Answer> then = request.then();
    barrier(
        ok -> {
          if (!ok) {
            then.accept(notNow());
            return;
          }
          Optional<Answer> answer =
              state(spec.uid())
                  .map(s -> Answer.of(200, s))
                  .or(() -> wrongDependency(spec).map(why -> Answer.error(422, why)));
          if (answer.isPresent()) {
            then.accept(answer.get());
          } else if (request.list().isPresent()) {
            storeList(request, request.list().get());
          } else {
            accept(request, guards(spec).orElse(List.of()));
          }
        });
  }

  /** Asked of a copy that was read after the request came. */
  private Optional<String> wrongDependency(JobSpec spec) {
    for (String uid : spec.dependencies()) {
      Optional<SpecIndex.Spec> awaited = specs.get(uid);
      if (awaited.isEmpty()) {
        return Optional.of("awaits a job that was never accepted: " + uid);
      }
      if (SpecRecord.isService(awaited.get().value())) {
        return Optional.of("awaits a service, which is never done: " + uid);
      }
    }
    return Optional.empty();
  }

  /**
   * All jobs before this one that are not done, so that it is aborted exactly if one of them is
   * cancelled. None if the copy shows that it is aborted, which no later fact can change. Empty
   * when the copy does not show them all, or they are too many for a transaction's conditions.
   */
  private Optional<List<String>> guards(JobSpec spec) {
    int most = Math.min(MOST_GUARDS, 4 * settings.writeLimits().txnOps() - 3);
    if (wrongDependency(spec).isPresent()) {
      return Optional.empty();
    }
    Set<String> unfinished = new LinkedHashSet<>();
    Deque<String> work = new ArrayDeque<>(spec.dependencies());
    while (!work.isEmpty()) {
      String uid = work.poll();
      if (aborted(uid)) {
        return Optional.of(List.of());
      }
      if (replica.get(Keys.done(uid)).isEmpty() && unfinished.add(uid)) {
        if (unfinished.size() > most || !pipelines.graph().isKnown(uid)) {
          return Optional.empty();
        }
        work.addAll(pipelines.graph().dependenciesOf(uid));
      }
    }
    return Optional.of(List.copyOf(unfinished));
  }

  private void storeList(Request request, DependenciesRecord list) {
    if (lists.isFull()) {
      request.then().accept(Answer.later(429, "too many long lists at once", 3));
      return;
    }
    boolean[] answered = {false};
    Consumer<Boolean> once =
        stands -> {
          if (answered[0]) {
            return;
          }
          answered[0] = true;
          if (stands) {
            long cameMs = scheduler.nowMs() - CREATE_LIMIT_MS + AFTER_LIST_MS;
            accept(
                new Request(
                    request.spec(),
                    request.value(),
                    request.list(),
                    Math.max(cameMs, request.cameMs()),
                    request.then()),
                List.of());
          } else {
            request.then().accept(Answer.later(503, "the list of jobs is not stored yet", 1));
          }
        };
    scheduler.schedule(
        Math.max(0, request.cameMs() + LIST_LIMIT_MS - scheduler.nowMs()),
        () -> once.accept(false));
    lists.write(list, once);
  }

  private void known(String uid, Consumer<Answer> then) {
    if (over(uid)) {
      then.accept(Answer.of(200, state(uid).orElseThrow()));
      return;
    }
    barrier(
        ok ->
            then.accept(
                ok ? state(uid).map(s -> Answer.of(200, s)).orElseGet(Intake::notNow) : notNow()));
  }

  /** A job that any node accepted is never refused, also when the repeat's body is not as good. */
  private void refuseUnlessKnown(String uid, Answer refusal, Consumer<Answer> then) {
    barrier(
        ok -> then.accept(ok ? state(uid).map(s -> Answer.of(200, s)).orElse(refusal) : notNow()));
  }

  /** Why the job can never run, if so. */
  private Optional<String> neverRuns(JobSpec spec) {
    Optional<Settings.Team> team = settings.team(spec.team());
    if (team.isEmpty()) {
      return Optional.of("unknown team");
    }
    int counted = spec.shape() == Shape.BATCH ? 1 : spec.tasks();
    if (beyond(team.get().coresMax(), spec.cores() * counted)
        || beyond(team.get().acceleratorsMax(), spec.accelerators() * counted)) {
      return Optional.of("more than the team's limit");
    }
    boolean fits = catalogue.types().stream().anyMatch(t -> fits(spec, t));
    return fits ? Optional.empty() : Optional.of("a task fits no allowed machine type");
  }

  private boolean isKnownType(String name) {
    return catalogue.typeIndex(name).isPresent();
  }

  private static boolean beyond(double limit, double amount) {
    return limit > 0 && amount > limit + 1e-9;
  }

  private static boolean fits(JobSpec spec, MachineType type) {
    return spec.types().map(allowed -> allowed.contains(type.name())).orElse(true)
        && spec.zone().map(z -> type.zones().contains(z)).orElse(true)
        && spec.perTask().fitsIn(type.size());
  }

  private void planFlush(long delayMs) {
    if (!flushPlanned && !creating) {
      flushPlanned = true;
      scheduler.schedule(
          delayMs,
          () -> {
            flushPlanned = false;
            flush();
          });
    }
  }

  private void flush() {
    if (creating) {
      return;
    }
    while (!creations.isEmpty()
        && scheduler.nowMs() - creations.peek().cameMs() > CREATE_LIMIT_MS) {
      giveUp(creations.poll());
    }
    if (creations.isEmpty()) {
      return;
    }
    long now = scheduler.nowMs();
    int budget = (int) Math.min(settings.writeLimits().txnOps(), Math.floor(writes.available()));
    boolean beyond = budget < 1;
    if (beyond && (now - refusedMs < STRICT_MS || now - flushedMs < BEYOND_SHARE_MS)) {
      planFlush(20);
      return;
    }
    budget = Math.max(1, budget);
    flushedMs = now;
    List<Creation> batch = new ArrayList<>();
    List<Condition> conditions = new ArrayList<>();
    List<Change> changes = new ArrayList<>();
    int bytes = 200;
    while (!creations.isEmpty()
        && changes.size() < budget
        && conditionsFit(conditions.size(), creations.peek())
        && bytes < MAX_TXN_BYTES - valueBytes) {
      ObjectNode jobs = Cbor.map();
      int size = 2;
      while (!creations.isEmpty()
          && conditionsFit(conditions.size(), creations.peek())
          && size + creations.peek().bytes() <= valueBytes) {
        Creation c = creations.poll();
        // Another node may have accepted it long ago, which this copy need not show yet: a job that
        // was called done or cancelled must not be called queued for it.
        conditions.add(new Condition(Keys.cancel(c.spec().uid()), 0));
        conditions.add(new Condition(Keys.done(c.spec().uid()), 0));
        c.guards().forEach(g -> conditions.add(new Condition(Keys.cancel(g), 0)));
        bytes += 200 + 100 * c.guards().size();
        jobs.set(c.spec().uid(), c.value());
        size += c.bytes();
        batch.add(c);
        sent.add(c.spec().uid());
      }
      String key = Keys.batch(nonce + "-" + ++batches);
      conditions.add(new Condition(key, 0));
      changes.add(new Change.Put(key, jobs));
      bytes += size + 200;
    }
    creating = true;
    if (!beyond) {
      writes.take(changes.size());
    }
    store.txn(new StateStore.Txn(conditions, changes), r -> created(batch, r));
  }

  /** Those of the job itself, and one for the record that it will stand in. */
  private boolean conditionsFit(int conditions, Creation c) {
    return conditions + 3 + c.guards().size() <= 4 * settings.writeLimits().txnOps();
  }

  private void giveUp(Creation c) {
    pending.remove(c.spec().uid());
    c.answerAll(Answer.later(503, "the state service is busy", 2));
  }

  private void created(List<Creation> batch, TxnResult result) {
    creating = false;
    if (result instanceof TxnResult.Conflict) {
      barrier(ok -> batch.forEach(c -> afterConflict(c, ok)));
      // What came meanwhile waits for nobody: all of the batch may be over already.
      if (!creations.isEmpty()) {
        planFlush(4);
      }
      return;
    }
    for (Creation c : batch) {
      pending.remove(c.spec().uid());
      sent.remove(c.spec().uid());
    }
    if (result instanceof TxnResult.Committed) {
      LOG.debug(
          "accepted {} jobs, the first {} after {} ms",
          batch.size(),
          batch.get(0).spec().uid(),
          scheduler.nowMs() - batch.get(0).cameMs());
      for (Creation c : batch) {
        boolean aborted = c.spec().dependencies().stream().anyMatch(this::aborted);
        String status = aborted ? "aborted" : "queued";
        c.answer(Answer.of(201, Cbor.map().put("uid", c.spec().uid()).put("status", status)));
        answerLate(c);
      }
      leaderHints.accepted();
    } else if (result instanceof TxnResult.Refused refused) {
      if (refused.status() == 400) {
        LOG.error(
            "the state service takes no write of {} jobs, {} bytes together",
            batch.size(),
            batch.stream().mapToInt(Creation::bytes).sum());
      }
      // All nodes together ask for more than the service gives: the leader's writes go first.
      writes.take(REFUSED_COST);
      refusedMs = scheduler.nowMs();
      batch.forEach(c -> c.answerAll(Answer.later(503, "the state service refuses", 1)));
    } else {
      // It may stand or may yet come to stand: only what is read back is said.
      barrier(ok -> batch.forEach(c -> c.answerAll(readBack(c.spec().uid(), ok))));
    }
    if (!creations.isEmpty()) {
      planFlush(4);
    }
  }

  /** Some of the batch are over already and are answered so; the others are tried again. */
  private void afterConflict(Creation c, boolean fresh) {
    String uid = c.spec().uid();
    sent.remove(uid);
    if (fresh && specs.get(uid).isEmpty()) {
      // The conditions are worked out anew: a job before it may have been cancelled, or done.
      Creation again =
          new Creation(
              c.spec(),
              c.value(),
              c.bytes(),
              c.cameMs(),
              c.guards().isEmpty() ? List.of() : guards(c.spec()).orElse(List.of()),
              c.askers(),
              c.late());
      pending.put(uid, again);
      creations.addFirst(again);
      planFlush(4);
    } else {
      pending.remove(uid);
      c.answer(readBack(uid, fresh));
      answerLate(c);
    }
  }

  /** Some of them may have asked after the last read went out. */
  private void answerLate(Creation c) {
    if (!c.late().isEmpty()) {
      barrier(ok -> c.late().forEach(a -> a.accept(readBack(c.spec().uid(), ok))));
    }
  }

  private Answer readBack(String uid, boolean fresh) {
    return fresh ? state(uid).map(s -> Answer.of(200, s)).orElseGet(Intake::notNow) : notNow();
  }

  // ---- for people

  /** How the copy has the job, and what it awaits. */
  public String explain(String uid) {
    Optional<String> status = state(uid).map(s -> s.path("status").asText());
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
        unfinished.stream().limit(MOST_EXPLAINED).map(this::named).collect(joining(", "));
    return uid
        + " is queued and awaits "
        + unfinished.size()
        + " of "
        + graph.dependenciesOf(uid).size()
        + " jobs: "
        + named
        + (unfinished.size() > MOST_EXPLAINED ? ", ..." : "");
  }

  private String named(String uid) {
    String status = state(uid).map(s -> s.path("status").asText()).orElse("not known here");
    int others = pipelines.isWaiting(uid) ? pipelines.graph().unfinished(uid).size() : 0;
    return uid + " (" + status + (others > 0 ? ", awaits " + others : "") + ")";
  }

  // ---- cancelling

  public void withdraw(String uid, Consumer<Answer> then) {
    if (!SubmissionCodec.validUid(uid)) {
      then.accept(Answer.error(404, "no such job"));
    } else if (over(uid)) {
      then.accept(overAnswer(uid));
    } else if (!replica.loaded()) {
      then.accept(notNow());
    } else {
      long cameMs = scheduler.nowMs();
      barrier(ok -> withdrawAt(uid, ok, 0, cameMs, then));
    }
  }

  /**
   * The leader hears of a cancellation when it is sent, so that it reads it by the time at which it
   * is confirmed, and once more when it is durable, as that read may have come too early. On the
   * leader itself the replica shows it before anybody is told.
   */
  private Cancellations.Listener cancellationListener() {
    return new Cancellations.Listener() {
      @Override
      public void sent() {
        leaderHints.cancelling();
      }

      @Override
      public void committed(List<Change.Put> cancellations, long ledger) {
        leaderHints.cancelled(cancellations, ledger);
      }
    };
  }

  private Answer overAnswer(String uid) {
    String status = replica.get(Keys.done(uid)).isPresent() ? "done" : "aborted";
    return Answer.of(200, Cbor.map().put("uid", uid).put("status", status));
  }

  private void withdrawAt(
      String uid, boolean fresh, int tries, long cameMs, Consumer<Answer> then) {
    if (over(uid)) {
      then.accept(overAnswer(uid));
    } else if (!fresh || tries > 0 && scheduler.nowMs() - cameMs > CANCEL_LIMIT_MS) {
      then.accept(notNow());
    } else if (specs.get(uid).isEmpty()) {
      then.accept(Answer.error(404, "no such job"));
    } else {
      cancellations.write(
          uid,
          outcome -> {
            switch (outcome) {
              case STANDS ->
                  then.accept(Answer.of(200, Cbor.map().put("uid", uid).put("status", "aborted")));
              case REFUSED -> then.accept(notNow());
              case UNCERTAIN -> barrier(ok -> withdrawAt(uid, ok, tries + 1, cameMs, then));
              case READ_BACK -> withdrawAt(uid, true, tries + 1, cameMs, then);
            }
          });
    }
  }
}
