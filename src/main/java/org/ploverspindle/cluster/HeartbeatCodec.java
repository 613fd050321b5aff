package org.ploverspindle.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ploverspindle.net.Cbor;

/** The wire form of reports and orders. */
public final class HeartbeatCodec {
  /** What an order takes besides the job's id. */
  private static final int ORDER_BYTES = 90;

  /** Orders of one answer, well within 64 KiB in JSON form; the rest goes with later answers. */
  public static final int MAX_ORDER_BYTES = 48 * 1024;

  private HeartbeatCodec() {}

  /** Empty when malformed. */
  public static Optional<Heartbeat> decode(byte[] body) {
    return Cbor.readMap(body).flatMap(HeartbeatCodec::decode);
  }

  private static Optional<Heartbeat> decode(ObjectNode b) {
    if (!text(b, "host")
        || !text(b, "flavour")
        || !text(b, "site")
        || !count(b, "tenure")
        || !count(b, "tally")
        || !count(b, "warrant")
        || !list(b)) {
      return Optional.empty();
    }
    List<Heartbeat.TaskStatus> items = new ArrayList<>(b.path("pieces").size());
    for (JsonNode p : b.path("pieces")) {
      Optional<Heartbeat.TaskStatus> item = item(p);
      if (item.isEmpty()) {
        return Optional.empty();
      }
      items.add(item.get());
    }
    JsonNode recall = b.path("recall_s");
    return Optional.of(
        new Heartbeat(
            b.path("host").asText(),
            b.path("addr").asText(""),
            b.path("flavour").asText(),
            b.path("site").asText(),
            b.path("loaners").asBoolean(),
            b.path("tenure").asLong(),
            b.path("tally").asLong(),
            b.path("warrant").asLong(),
            recall.isNumber() ? OptionalDouble.of(recall.asDouble()) : OptionalDouble.empty(),
            items));
  }

  private static boolean list(ObjectNode b) {
    JsonNode pieces = b.path("pieces");
    return pieces.isArray() || pieces.isNull() || pieces.isMissingNode();
  }

  private static boolean text(JsonNode in, String field) {
    return in.path(field).isTextual() && !in.path(field).asText().isEmpty();
  }

  private static boolean count(JsonNode in, String field) {
    JsonNode n = in.path(field);
    return n.isIntegralNumber() && n.canConvertToLong() && n.asLong() >= 0;
  }

  private static Optional<Heartbeat.TaskStatus> item(JsonNode p) {
    String name = p.path("piece").asText("");
    int slash = name.lastIndexOf('/');
    if (slash <= 0 || !count(p, "try")) {
      return Optional.empty();
    }
    int task;
    try {
      task = Integer.parseInt(name.substring(slash + 1));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
    Heartbeat.Phase phase;
    switch (p.path("status").asText("")) {
      case "running" -> phase = Heartbeat.Phase.RUNNING;
      case "saving" -> phase = Heartbeat.Phase.CHECKPOINTING;
      case "exited" -> phase = Heartbeat.Phase.EXITED;
      case "" -> {
        return Optional.empty();
      }
      // Fetching, or a state that a newer worker has: the task is there and does not run yet. To
      // refuse the whole report for it would cost the lease of everything on the machine.
      default -> phase = Heartbeat.Phase.FETCHING;
    }
    Heartbeat.ExitReason cause =
        switch (p.path("cause").asText("")) {
          case "done" -> Heartbeat.ExitReason.DONE;
          case "stopped" -> Heartbeat.ExitReason.STOPPED;
          case "error" -> Heartbeat.ExitReason.ERROR;
          case "no_room" -> Heartbeat.ExitReason.NO_ROOM;
          case "busy" -> Heartbeat.ExitReason.BUSY;
          case "no_such" -> Heartbeat.ExitReason.NO_SUCH;
          default -> Heartbeat.ExitReason.NONE;
        };
    return Optional.of(
        new Heartbeat.TaskStatus(
            name.substring(0, slash),
            task,
            p.path("try").asLong(),
            phase,
            cause,
            p.path("stored").asBoolean(false)));
  }

  /** The answer to a report: as many orders, in their order, as the limit on bodies allows. */
  public static byte[] encodeResponse(long token, List<WorkerCommand> orders) {
    return Cbor.write(encode(Cbor.map().put("warrant", token), orders));
  }

  /** Commands that go straight to a worker. */
  public static byte[] encodeDirectCommand(long token, long tenure, List<WorkerCommand> orders) {
    return Cbor.write(encode(Cbor.map().put("warrant", token).put("tenure", tenure), orders));
  }

  private static ObjectNode encode(ObjectNode body, List<WorkerCommand> orders) {
    ArrayNode list = body.putArray("orders");
    for (WorkerCommand order : orders) {
      ObjectNode o = list.addObject();
      o.put(
          "verb",
          order instanceof WorkerCommand.Launch
              ? "launch"
              : order instanceof WorkerCommand.Stop ? "stop" : "forget");
      o.put("piece", order.uid() + "/" + order.task());
      o.put("try", order.attempt());
      if (order instanceof WorkerCommand.Stop stop) {
        o.put("wind_down_s", stop.gracePeriodS());
      }
    }
    return body;
  }

  /** About what an order takes in JSON form. */
  public static int size(WorkerCommand order) {
    return order.uid().length() + ORDER_BYTES;
  }
}
