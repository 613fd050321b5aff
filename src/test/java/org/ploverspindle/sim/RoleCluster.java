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
  static final int CONTROLLERS = 3;
  static final LeaseTiming TIMING = new LeaseTiming(3_000, 2_940);
  static final String HOLDER_KEY = Keys.PREFIX + "duty/test";
  static final String EPOCH_KEY = Keys.PREFIX + "duty/test/epoch";
  static final String ACTION_KEY = Keys.PREFIX + "act";

  private static final long TICK_INTERVAL_MS = 150;
  private static final long ACTION_INTERVAL_MS = 200;
  private static final int MAX_SEND_DELAY_MS = 60;
  private static final long CHECK_INTERVAL_MS = 20;

  final SimClock clock = new SimClock();
  final Random random;
  final SimNetwork network;
  final SimStateStore state;
  final SimStateAccess access;
  final ReferenceRole referenceRole = new ReferenceRole();
  private final boolean fenced;
  private final List<Controller> controllers = new ArrayList<>();
  private final List<String> falseHolders = new ArrayList<>();
  private int refusedActions;

  RoleCluster(long seed, boolean fenced) {
    this.random = new Random(seed);
    this.fenced = fenced;
    this.network = new SimNetwork(clock, random);
    this.state = new SimStateStore(clock, new Settings.StateLimits(400, 200, 8, 12));
    this.access = new SimStateAccess(clock, random, network, state, false);
    state.onWrite(referenceRole::committed);
    for (int i = 0; i < CONTROLLERS; i++) {
      controllers.add(new Controller(i));
    }
    checkCertainHolder();
  }

  Controller controller(int index) {
    return controllers.get(index);
  }

  /** The member that holds the duty as far as it knows; there may be more than one. */
  Optional<Controller> holder() {
    return controllers.stream()
        .filter(controller -> !controller.process.isDead() && controller.role.held().isPresent())
        .findFirst();
  }

  /** What members with a right clock believed and was not so. */
  List<String> falseHolders() {
    return falseHolders;
  }

  /** Writes that were refused since another one holds the duty. */
  int refusedActions() {
    return refusedActions;
  }

  /** Ends the member's process, unless it is away already, and starts another one. */
  void crash(int index, long restartAfterMs) {
    if (controllers.get(index).process.isDead()) {
      return;
    }
    controllers.get(index).process.kill();
    clock.after(restartAfterMs, () -> controllers.set(index, new Controller(index)));
  }

  /** Who is sure to hold the duty, by a clock that is right, does hold it in the plain model. */
  private void checkCertainHolder() {
    Optional<Long> epoch =
        state.containsKey(HOLDER_KEY) ? referenceRole.currentEpoch() : Optional.empty();
    for (Controller controller : controllers) {
      boolean runs = !controller.process.isDead() && !controller.process.isFrozen();
      if (runs && !controller.clockJumped && controller.role.isCertainlyHeld()) {
        Optional<Long> believedEpoch = controller.role.held().map(HeldRole::epoch);
        if (!believedEpoch.equals(epoch)) {
          falseHolders.add(
              "at " + clock.nowMs() + " " + believedEpoch + " is sure, and " + epoch + " holds");
        }
      }
    }
    clock.after(CHECK_INTERVAL_MS, this::checkCertainHolder);
  }

  /** The records of the duty that is tested. */
  static final class Records implements RoleRecords {
    @Override
    public String name() {
      return "test";
    }

    @Override
    public String holderKey() {
      return HOLDER_KEY;
    }

    @Override
    public String epochKey() {
      return EPOCH_KEY;
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
  final class Controller implements RoleLease.Listener {
    final SimClock.Process process;
    final RoleLease role;
    final List<HeldRole> acquiredRoles = new ArrayList<>();
    private final StateStore store;
    private boolean clockJumped;
    private boolean silent;

    Controller(int index) {
      process = clock.new Process(random.nextInt(1_000_000), 1 + random.nextInt(10) / 20_000.0, 0);
      store = access.client(index, new SimLink(clock, network, index, process));
      Replica replica = new Replica(process, store, Keys.PREFIX, 300);
      role =
          new RoleLease(
              process,
              store,
              replica,
              new SplittableRandom(random.nextLong()),
              new RoleLease.Candidacy(SimLink.controllerName(index), new Records(), TIMING),
              this);
      process.schedule(0, replica::start);
      process.scheduleWithFixedDelay(TICK_INTERVAL_MS, role::tick);
      process.scheduleWithFixedDelay(ACTION_INTERVAL_MS, this::sendActionIfHeld);
    }

    /** Its steady clock jumps: its own check is worth nothing for a while. */
    void jumpClock(long byMs) {
      clockJumped = true;
      process.jumpClock(byMs);
    }

    /** From now on it sends nothing. */
    void stopSending() {
      silent = true;
    }

    /** Checks, and sends a moment later: the process may stand still in between. */
    private void sendActionIfHeld() {
      if (!silent && role.isCertainlyHeld()) {
        HeldRole held = role.held().orElseThrow();
        process.schedule(random.nextInt(MAX_SEND_DELAY_MS), () -> sendAction(held));
      }
    }

    private void sendAction(HeldRole held) {
      List<Condition> conditions =
          fenced ? List.of(new Condition(HOLDER_KEY, held.modRevision())) : List.of();
      store.commit(
          new StateStore.Transaction(
              conditions,
              List.of(new Change.Put(ACTION_KEY, Cbor.map().put("epoch", held.epoch())))),
          result -> {
            if (result instanceof TransactionResult.Conflict) {
              refusedActions++;
              role.end("a write was refused");
            }
          });
    }

    @Override
    public void acquired(HeldRole held) {
      acquiredRoles.add(held);
    }

    @Override
    public void lost(HeldRole held, String cause) {}

    @Override
    public boolean mayAcquire() {
      return true;
    }
  }
}
