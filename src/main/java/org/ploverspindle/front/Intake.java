package org.ploverspindle.front;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.cloud.Catalogue;
import org.ploverspindle.cloud.MachineType;
import org.ploverspindle.jobs.JobSpec;
import org.ploverspindle.jobs.Shape;
import org.ploverspindle.loop.Scheduler;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressRecord;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.SpecRecord;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Entry;
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

  private record Creation(JobSpec spec, JsonNode value, long cameMs, Consumer<Answer> then) {}

  private final Scheduler scheduler;
  private final StateStore store;
  private final Replica replica;
  private final Catalogue catalogue;
  private final Settings settings;
  private final TokenBucket writes;
  private final int chunk;
  private final Deque<Creation> creations = new ArrayDeque<>();
  private boolean creating;
  private boolean flushPlanned;

  public Intake(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      Catalogue catalogue,
      Settings settings,
      TokenBucket writes) {
    this.scheduler = scheduler;
    this.store = store;
    this.replica = replica;
    this.catalogue = catalogue;
    this.settings = settings;
    this.writes = writes;
    this.chunk = ProgressRecord.chunkFor(settings.stateLimits().valueBytes());
  }

  /** Calls with true at the barrier, or with false when it can't be had in the user's time. */
  private void barrier(Consumer<Boolean> then) {
    boolean[] answered = {false};
    Consumer<Boolean> once =
        ok -> {
          if (!answered[0]) {
            answered[0] = true;
            then.accept(ok);
          }
        };
    replica.barrier(once);
    scheduler.schedule(BARRIER_LIMIT_MS, () -> once.accept(false));
  }

  // ---- polls

  /** The job's state by the copy; empty when the copy has no such job. */
  private Optional<ObjectNode> state(String uid) {
    Optional<Entry> spec = replica.get(Keys.spec(uid));
    if (spec.isEmpty()) {
      return Optional.empty();
    }
    int tasks = spec.get().value().path("tasks").asInt();
    ObjectNode body = Cbor.map().put("uid", uid);
    if (replica.get(Keys.done(uid)).isPresent()) {
      return Optional.of(body.put("status", "done").put("done", tasks).put("running", 0));
    }
    int done = 0;
    int running = 0;
    for (Entry p : replica.under(Keys.progressOf(uid)).values()) {
      done += p.value().path("n").asInt();
      running += p.value().path("r").asInt();
    }
    if (replica.get(Keys.cancel(uid)).isPresent()) {
      return Optional.of(body.put("status", "aborted").put("done", done).put("running", 0));
    }
    String status = running > 0 ? "running" : "queued";
    return Optional.of(body.put("status", status).put("done", done).put("running", running));
  }

  private boolean over(String uid) {
    return replica.get(Keys.spec(uid)).isPresent()
        && (replica.get(Keys.done(uid)).isPresent() || replica.get(Keys.cancel(uid)).isPresent());
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
      barrier(
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
    if (!replica.loaded()) {
      then.accept(notNow());
      return;
    }
    if (replica.get(Keys.spec(uid.get())).isPresent()) {
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
    Optional<String> never = neverRuns(spec);
    JsonNode value = new SpecRecord(spec, scheduler.wallMs(), chunk).encode();
    if (never.isEmpty() && Cbor.jsonSize(value) > settings.stateLimits().valueBytes()) {
      never = Optional.of("the job's description is too long to be kept");
    }
    if (never.isPresent()) {
      refuseUnlessKnown(uid.get(), Answer.error(422, never.get()), then);
      return;
    }
    if (creations.size() >= 4 * settings.stateLimits().txnOps()) {
      then.accept(Answer.later(429, "too many submissions at once", 2));
      return;
    }
    creations.add(new Creation(spec, value, scheduler.nowMs(), then));
    planFlush(5);
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
    if (creating || creations.isEmpty()) {
      return;
    }
    while (!creations.isEmpty()
        && scheduler.nowMs() - creations.peek().cameMs() > CREATE_LIMIT_MS) {
      creations.poll().then().accept(Answer.later(503, "the state service is busy", 2));
    }
    int budget = (int) Math.min(settings.stateLimits().txnOps(), Math.floor(writes.available()));
    if (budget < 1) {
      planFlush(50);
      return;
    }
    List<Creation> batch = new ArrayList<>();
    List<Condition> conditions = new ArrayList<>();
    List<Change> changes = new ArrayList<>();
    int bytes = 200;
    while (!creations.isEmpty() && batch.size() < budget) {
      Creation c = creations.peek();
      int size = Cbor.jsonSize(c.value()) + 200;
      String key = Keys.spec(c.spec().uid());
      if (!batch.isEmpty() && bytes + size > 56 * 1024
          || conditions.stream().anyMatch(k -> k.key().equals(key))) {
        break;
      }
      bytes += size;
      creations.poll();
      batch.add(c);
      conditions.add(new Condition(key, 0));
      changes.add(new Change.Put(key, c.value()));
    }
    if (batch.isEmpty()) {
      return;
    }
    creating = true;
    writes.take(batch.size());
    store.txn(new StateStore.Txn(conditions, changes), r -> created(batch, r));
  }

  private void created(List<Creation> batch, TxnResult result) {
    creating = false;
    if (result instanceof TxnResult.Committed) {
      batch.forEach(
          c ->
              c.then()
                  .accept(
                      Answer.of(
                          201, Cbor.map().put("uid", c.spec().uid()).put("status", "queued"))));
    } else if (result instanceof TxnResult.Conflict conflict) {
      for (Creation c : batch) {
        if (conflict.keys().contains(Keys.spec(c.spec().uid()))) {
          known(c.spec().uid(), c.then());
        } else {
          creations.addFirst(c);
        }
      }
    } else if (result instanceof TxnResult.Unknown) {
      // It may stand or may yet come to stand: only what is read back is said.
      barrier(
          ok ->
              batch.forEach(
                  c ->
                      c.then()
                          .accept(
                              ok
                                  ? state(c.spec().uid())
                                      .map(s -> Answer.of(200, s))
                                      .orElseGet(Intake::notNow)
                                  : notNow())));
    } else {
      batch.forEach(c -> c.then().accept(Answer.later(503, "the state service refuses", 1)));
    }
    if (!creations.isEmpty()) {
      planFlush(5);
    }
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
      barrier(ok -> withdrawAt(uid, ok, 0, then));
    }
  }

  private Answer overAnswer(String uid) {
    String status = replica.get(Keys.done(uid)).isPresent() ? "done" : "aborted";
    return Answer.of(200, Cbor.map().put("uid", uid).put("status", status));
  }

  private void withdrawAt(String uid, boolean fresh, int tries, Consumer<Answer> then) {
    if (over(uid)) {
      then.accept(overAnswer(uid));
    } else if (!fresh || tries >= 3) {
      then.accept(notNow());
    } else if (replica.get(Keys.spec(uid)).isEmpty()) {
      then.accept(Answer.error(404, "no such job"));
    } else {
      writes.take(1);
      // Done and cancelled exclude each other: each is written only where the other is absent.
      store.txn(
          new StateStore.Txn(
              List.of(new Condition(Keys.done(uid), 0), new Condition(Keys.cancel(uid), 0)),
              List.of(new Change.Put(Keys.cancel(uid), Cbor.map().put("at", scheduler.wallMs())))),
          result -> {
            if (result instanceof TxnResult.Committed) {
              then.accept(Answer.of(200, Cbor.map().put("uid", uid).put("status", "aborted")));
              replica.barrier(ok -> {});
            } else if (result instanceof TxnResult.Refused) {
              then.accept(notNow());
            } else {
              barrier(ok -> withdrawAt(uid, ok, tries + 1, then));
            }
          });
    }
  }
}
