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
  private static final int COMMAND_BYTES = 90;

  /** Orders of one answer, well within 64 KiB in JSON form; the rest goes with later answers. */
  public static final int MAX_COMMAND_BYTES = 48 * 1024;

  private HeartbeatCodec() {}

  /** Empty when malformed. */
  public static Optional<Heartbeat> decode(byte[] body) {
    return Cbor.readMap(body).flatMap(HeartbeatCodec::decode);
  }

  private static Optional<Heartbeat> decode(ObjectNode map) {
    if (!hasText(map, "host")
        || !hasText(map, "flavour")
        || !hasText(map, "site")
        || !hasCount(map, "tenure")
        || !hasCount(map, "tally")
        || !hasCount(map, "warrant")
        || !hasTaskList(map)) {
      return Optional.empty();
    }
    List<Heartbeat.TaskStatus> tasks = new ArrayList<>(map.path("pieces").size());
    for (JsonNode piece : map.path("pieces")) {
      Optional<Heartbeat.TaskStatus> task = decodeTask(piece);
      if (task.isEmpty()) {
        return Optional.empty();
      }
      tasks.add(task.get());
    }
    JsonNode spotNotice = map.path("recall_s");
    return Optional.of(
        new Heartbeat(
            map.path("host").asText(),
            map.path("addr").asText(""),
            map.path("flavour").asText(),
            map.path("site").asText(),
            map.path("loaners").asBoolean(),
            map.path("tenure").asLong(),
            map.path("tally").asLong(),
            map.path("warrant").asLong(),
            spotNotice.isNumber()
                ? OptionalDouble.of(spotNotice.asDouble())
                : OptionalDouble.empty(),
            tasks));
  }

  private static boolean hasTaskList(ObjectNode map) {
    JsonNode pieces = map.path("pieces");
    return pieces.isArray() || pieces.isNull() || pieces.isMissingNode();
  }

  private static boolean hasText(JsonNode map, String field) {
    return map.path(field).isTextual() && !map.path(field).asText().isEmpty();
  }

  private static boolean hasCount(JsonNode map, String field) {
    JsonNode value = map.path(field);
    return value.isIntegralNumber() && value.canConvertToLong() && value.asLong() >= 0;
  }

  private static Optional<Heartbeat.TaskStatus> decodeTask(JsonNode piece) {
    String name = piece.path("piece").asText("");
    int slash = name.lastIndexOf('/');
    if (slash <= 0 || !hasCount(piece, "try")) {
      return Optional.empty();
    }
    int task;
    try {
      task = Integer.parseInt(name.substring(slash + 1));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
    Heartbeat.Phase phase;
    switch (piece.path("status").asText("")) {
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
        switch (piece.path("cause").asText("")) {
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
            piece.path("try").asLong(),
            phase,
            cause,
            piece.path("stored").asBoolean(false)));
  }

  /** The answer to a report: as many orders, in their order, as the limit on bodies allows. */
  public static byte[] encodeResponse(long fencingToken, List<WorkerCommand> commands) {
    return Cbor.write(encode(Cbor.map().put("warrant", fencingToken), commands));
  }

  /** Commands that go straight to a worker. */
  public static byte[] encodeDirectCommand(
      long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
    return Cbor.write(
        encode(Cbor.map().put("warrant", fencingToken).put("tenure", agentEpoch), commands));
  }

  private static ObjectNode encode(ObjectNode body, List<WorkerCommand> commands) {
    ArrayNode encoded = body.putArray("orders");
    for (WorkerCommand command : commands) {
      ObjectNode entry = encoded.addObject();
      entry.put(
          "verb",
          command instanceof WorkerCommand.Launch
              ? "launch"
              : command instanceof WorkerCommand.Stop ? "stop" : "forget");
      entry.put("piece", command.uid() + "/" + command.task());
      entry.put("try", command.attempt());
      if (command instanceof WorkerCommand.Stop stop) {
        entry.put("wind_down_s", stop.gracePeriodS());
      }
    }
    return body;
  }

  /** About what an order takes in JSON form. */
  public static int size(WorkerCommand command) {
    return command.uid().length() + COMMAND_BYTES;
  }
}
