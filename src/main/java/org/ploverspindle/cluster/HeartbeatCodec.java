package org.ploverspindle.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.ploverspindle.net.Cbor;

/**
 * The wire form of heartbeats and commands. Only here are the protocol's names mapped to the terms
 * of the program: {@code tenure} is the agent epoch, {@code tally} the sequence number, {@code
 * warrant} the fencing token, {@code recall_s} the spot notice, {@code piece} a task, {@code try}
 * an attempt.
 */
public final class HeartbeatCodec {
  /** About what a command takes in JSON form besides the job's uid. */
  private static final int COMMAND_BYTES = 90;

  /** The commands of one message, in JSON form: well within the protocol's limit of 64 KiB. */
  public static final int MAX_COMMAND_BYTES = 48 * 1024;

  private HeartbeatCodec() {}

  /** The heartbeat in a message's body; empty when it is malformed. */
  public static Optional<Heartbeat> decode(byte[] body) {
    return Cbor.readMap(body).flatMap(HeartbeatCodec::decode);
  }

  private static Optional<Heartbeat> decode(ObjectNode map) {
    if (!isWellFormed(map)) {
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

  private static boolean isWellFormed(ObjectNode map) {
    return hasText(map, "host")
        && hasText(map, "flavour")
        && hasText(map, "site")
        && hasCount(map, "tenure")
        && hasCount(map, "tally")
        && hasCount(map, "warrant")
        && hasTaskList(map);
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
    OptionalInt task = decodeTaskIndex(name.substring(slash + 1));
    Optional<Heartbeat.Phase> phase = decodePhase(piece.path("status").asText(""));
    if (task.isEmpty() || phase.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new Heartbeat.TaskStatus(
            name.substring(0, slash),
            task.getAsInt(),
            piece.path("try").asLong(),
            phase.get(),
            decodeExitReason(piece.path("cause").asText("")),
            piece.path("stored").asBoolean(false)));
  }

  private static OptionalInt decodeTaskIndex(String text) {
    try {
      return OptionalInt.of(Integer.parseInt(text));
    } catch (NumberFormatException malformed) {
      return OptionalInt.empty();
    }
  }

  /**
   * An unknown state is one that a newer agent has: the task is on the machine and not known to
   * run. To refuse the whole heartbeat for it would cost the lease of every task on the machine.
   */
  private static Optional<Heartbeat.Phase> decodePhase(String status) {
    return switch (status) {
      case "" -> Optional.empty();
      case "running" -> Optional.of(Heartbeat.Phase.RUNNING);
      case "saving" -> Optional.of(Heartbeat.Phase.CHECKPOINTING);
      case "exited" -> Optional.of(Heartbeat.Phase.EXITED);
      default -> Optional.of(Heartbeat.Phase.FETCHING);
    };
  }

  private static Heartbeat.ExitReason decodeExitReason(String cause) {
    return switch (cause) {
      case "done" -> Heartbeat.ExitReason.DONE;
      case "stopped" -> Heartbeat.ExitReason.STOPPED;
      case "error" -> Heartbeat.ExitReason.ERROR;
      case "no_room" -> Heartbeat.ExitReason.NO_ROOM;
      case "busy" -> Heartbeat.ExitReason.BUSY;
      case "no_such" -> Heartbeat.ExitReason.NO_SUCH;
      default -> Heartbeat.ExitReason.NONE;
    };
  }

  /** The body of the response to a heartbeat, with the commands in this order. */
  public static byte[] encodeResponse(long fencingToken, List<WorkerCommand> commands) {
    return Cbor.write(encode(Cbor.map().put("warrant", fencingToken), commands));
  }

  /** The body of a message with direct commands, which are bound to the agent epoch. */
  public static byte[] encodeDirectCommand(
      long fencingToken, long agentEpoch, List<WorkerCommand> commands) {
    return Cbor.write(
        encode(Cbor.map().put("warrant", fencingToken).put("tenure", agentEpoch), commands));
  }

  private static ObjectNode encode(ObjectNode body, List<WorkerCommand> commands) {
    ArrayNode encodedCommands = body.putArray("orders");
    for (WorkerCommand command : commands) {
      ObjectNode encoded = encodedCommands.addObject();
      encoded.put("verb", verb(command));
      encoded.put("piece", command.uid() + "/" + command.task());
      encoded.put("try", command.attempt());
      if (command instanceof WorkerCommand.Stop stop) {
        encoded.put("wind_down_s", stop.gracePeriodS());
      }
    }
    return body;
  }

  private static String verb(WorkerCommand command) {
    if (command instanceof WorkerCommand.Launch) {
      return "launch";
    }
    return command instanceof WorkerCommand.Stop ? "stop" : "forget";
  }

  /** About how many bytes a command takes in JSON form. */
  public static int size(WorkerCommand command) {
    return command.uid().length() + COMMAND_BYTES;
  }
}
