package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import org.ploverspindle.leases.HeldRole;
import org.ploverspindle.leases.LeaseTiming;
import org.ploverspindle.leases.RoleHolder;
import org.ploverspindle.leases.RoleLease;
import org.ploverspindle.leases.RoleRecords;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TransactionResult;

/**
 * Controllers that want one duty and write under it again and again, against the stand-in of the
 * state service, where each write that is carried out is held against a {@link ReferenceRole}.
 */
final class RoleCluster {
  static final int MEMBERS = 3;
  static final LeaseTiming TIMING = new LeaseTiming(3_000, 2_940);
  static final String HOLDER = Keys.PREFIX + "duty/test";
  static final String EPOCHS = Keys.PREFIX + "duty/test/epoch";
  static final String ACTION = Keys.PREFIX + "act";

  private static final long TICK_MS = 150;
  private static final long ACT_MS = 200;
  private static final int CHECK_TO_SEND_MS = 60;
  private static final long LOOK_MS = 20;

  final SimClock clock = new SimClock();
  final Random random;
  final SimNetwork network;
  final SimStateStore state;
  final SimStateAccess access;
  final ReferenceRole plain = new ReferenceRole();
  private final boolean fenced;
  private final List<Member> members = new ArrayList<>();
  private final List<String> wrong = new ArrayList<>();
  private int refused;

  RoleCluster(long seed, boolean fenced) {
    this.random = new Random(seed);
    this.fenced = fenced;
    this.network = new SimNetwork(clock, random);
    this.state = new SimStateStore(clock, new Settings.StateLimits(400, 200, 8, 12));
    this.access = new SimStateAccess(clock, random, network, state, false);
    state.onWrite(plain::written);
    for (int i = 0; i < MEMBERS; i++) {
      members.add(new Member(i));
    }
    look();
  }

  Member member(int index) {
    return members.get(index);
  }

  /** The member that holds the duty as far as it knows; there may be more than one. */
  Optional<Member> holder() {
    return members.stream()
        .filter(m -> !m.process.isDead() && m.duty.held().isPresent())
        .findFirst();
  }

  /** What members with a right clock believed and was not so. */
  List<String> wrong() {
    return wrong;
  }

  /** Writes that were refused since another one holds the duty. */
  int refused() {
    return refused;
  }

  /** Ends the member's process, unless it is away already, and starts another one. */
  void crash(int index, long backAfterMs) {
    if (members.get(index).process.isDead()) {
      return;
    }
    members.get(index).process.kill();
    clock.after(backAfterMs, () -> members.set(index, new Member(index)));
  }

  /** Who is sure to hold the duty, by a clock that is right, does hold it in the plain model. */
  private void look() {
    Optional<Long> epoch = state.containsKey(HOLDER) ? plain.epoch() : Optional.empty();
    for (Member member : members) {
      boolean runs = !member.process.isDead() && !member.process.isFrozen();
      if (runs && !member.jumped && member.duty.isCertainlyHeld()) {
        Optional<Long> believed = member.duty.held().map(HeldRole::epoch);
        if (!believed.equals(epoch)) {
          wrong.add("at " + clock.nowMs() + " " + believed + " is sure, and " + epoch + " holds");
        }
      }
    }
    clock.after(LOOK_MS, this::look);
  }

  /** The records of the duty that is tested. */
  static final class Records implements RoleRecords {
    @Override
    public String name() {
      return "test";
    }

    @Override
    public String holderKey() {
      return HOLDER;
    }

    @Override
    public String epochKey() {
      return EPOCHS;
    }

    @Override
    public JsonNode encode(RoleHolder holder) {
      return Cbor.map()
          .put("member", holder.member())
          .put("nonce", holder.nonce())
          .put("epoch", holder.epoch())
          .put("lease", holder.lease());
    }

    @Override
    public Optional<RoleHolder> decode(JsonNode record) {
      return record.path("epoch").canConvertToLong()
          ? Optional.of(
              new RoleHolder(
                  record.path("member").asText(),
                  record.path("nonce").asText(),
                  record.path("epoch").asLong(),
                  record.path("lease").asLong()))
          : Optional.empty();
    }

    @Override
    public JsonNode encodeEpochs(long taken) {
      return Cbor.map().put("last", taken);
    }

    @Override
    public Optional<Long> nextEpoch(Optional<JsonNode> record) {
      if (record.isEmpty()) {
        return Optional.of(1L);
      }
      return record.get().path("last").canConvertToLong()
          ? Optional.of(record.get().path("last").asLong() + 1)
          : Optional.empty();
    }
  }

  /** One process of a member. */
  final class Member implements RoleLease.Listener {
    final SimClock.Process process;
    final RoleLease duty;
    final List<HeldRole> terms = new ArrayList<>();
    private final StateStore store;
    private boolean jumped;
    private boolean quiet;

    Member(int index) {
      process = clock.new Process(random.nextInt(1_000_000), 1 + random.nextInt(10) / 20_000.0, 0);
      store = access.client(index, new SimLink(clock, network, index, process));
      Replica replica = new Replica(process, store, Keys.PREFIX, 300);
      duty =
          new RoleLease(
              process,
              store,
              replica,
              new SplittableRandom(random.nextLong()),
              new RoleLease.Candidacy(SimLink.controllerName(index), new Records(), TIMING),
              this);
      process.schedule(0, replica::start);
      process.scheduleWithFixedDelay(TICK_MS, duty::tick);
      process.scheduleWithFixedDelay(ACT_MS, this::act);
    }

    /** Its steady clock jumps: its own check is worth nothing for a while. */
    void jump(long byMs) {
      jumped = true;
      process.jumpClock(byMs);
    }

    /** From now on it sends nothing. */
    void keepQuiet() {
      quiet = true;
    }

    /** Checks, and sends a moment later: the process may stand still in between. */
    private void act() {
      if (!quiet && duty.isCertainlyHeld()) {
        HeldRole held = duty.held().orElseThrow();
        process.schedule(random.nextInt(CHECK_TO_SEND_MS), () -> send(held));
      }
    }

    private void send(HeldRole held) {
      List<Condition> conditions =
          fenced ? List.of(new Condition(HOLDER, held.modRevision())) : List.of();
      store.commit(
          new StateStore.Transaction(
              conditions, List.of(new Change.Put(ACTION, Cbor.map().put("epoch", held.epoch())))),
          result -> {
            if (result instanceof TransactionResult.Conflict) {
              refused++;
              duty.end("a write was refused");
            }
          });
    }

    @Override
    public void acquired(HeldRole held) {
      terms.add(held);
    }

    @Override
    public void lost(HeldRole held, String cause) {}

    @Override
    public boolean mayAcquire() {
      return true;
    }
  }
}
