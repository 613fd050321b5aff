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
 * Encodes and decodes heartbeats and commands. No other class maps the protocol's names to the
 * terms of the program: {@code host} is the machine, {@code flavour} its machine type, {@code site}
 * its zone, {@code loaners} whether it is a spot machine, {@code recall_s} its spot notice, {@code
 * tenure} the worker epoch, {@code tally} the sequence number, {@code warrant} the fencing token,
 * {@code piece} a task, {@code try} an attempt, {@code orders} the commands, and {@code
 * wind_down_s} the grace period of a stop.
 */
public final class HeartbeatCodec {
  /** Estimated bytes of a command in JSON form, without the job's UID. */
  private static final int COMMAND_OVERHEAD_BYTES = 90;

  /**
   * The largest total size of the commands in one message, in bytes of their JSON form. It leaves a
   * wide margin to the protocol's limit of 64 KiB.
   */
  public static final int MAX_COMMAND_BYTES = 48 * 1024;

  private HeartbeatCodec() {}

  /** Decodes a heartbeat from the body of a message; empty if the body is malformed. */
  public static Optional<Heartbeat> decode(byte[] body) {
    return Cbor.readMap(body).flatMap(HeartbeatCodec::decode);
  }

  private static Optional<Heartbeat> decode(ObjectNode map) {
    if (!isWellFormed(map)) {
      return Optional.empty();
    }
    List<Heartbeat.TaskStatus> tasks = new ArrayList<>(map.path("pieces").size());
    for (JsonNode taskNode : map.path("pieces")) {
      Optional<Heartbeat.TaskStatus> task = decodeTask(taskNode);
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
    return hasNonEmptyText(map, "host")
        && hasNonEmptyText(map, "flavour")
        && hasNonEmptyText(map, "site")
        && hasNonNegativeLong(map, "tenure")
        && hasNonNegativeLong(map, "tally")
        && hasNonNegativeLong(map, "warrant")
        && hasTaskList(map);
  }

  private static boolean hasTaskList(ObjectNode map) {
    JsonNode taskNodes = map.path("pieces");
    return taskNodes.isArray() || taskNodes.isNull() || taskNodes.isMissingNode();
  }

  private static boolean hasNonEmptyText(JsonNode map, String field) {
    return map.path(field).isTextual() && !map.path(field).asText().isEmpty();
  }

  private static boolean hasNonNegativeLong(JsonNode map, String field) {
    JsonNode value = map.path(field);
    return value.isIntegralNumber() && value.canConvertToLong() && value.asLong() >= 0;
  }

  private static Optional<Heartbeat.TaskStatus> decodeTask(JsonNode taskNode) {
    String name = taskNode.path("piece").asText("");
    int slash = name.lastIndexOf('/');
    if (slash <= 0 || !hasNonNegativeLong(taskNode, "try")) {
      return Optional.empty();
    }
    OptionalInt task = decodeTaskIndex(name.substring(slash + 1));
    Optional<Heartbeat.Phase> phase = decodePhase(taskNode.path("status").asText(""));
    if (task.isEmpty() || phase.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new Heartbeat.TaskStatus(
            name.substring(0, slash),
            task.getAsInt(),
            taskNode.path("try").asLong(),
            phase.get(),
            decodeExitReason(taskNode.path("cause").asText("")),
            taskNode.path("stored").asBoolean(false)));
  }

  private static OptionalInt decodeTaskIndex(String text) {
    try {
      return OptionalInt.of(Integer.parseInt(text));
    } catch (NumberFormatException malformed) {
      return OptionalInt.empty();
    }
  }

  /**
   * Decodes the phase of a task; empty if it is missing, which makes the heartbeat malformed. An
   * unknown phase comes from a newer version of the worker: the task is then on the machine but not
   * known to run. Rejecting the whole heartbeat for it would let the worker lease expire, which
   * ends every task on the machine.
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

  /** Encodes the body of the response to a heartbeat; the commands keep their order. */
  public static byte[] encodeResponse(long fencingToken, List<WorkerCommand> commands) {
    return Cbor.write(encode(Cbor.map().put("warrant", fencingToken), commands));
  }

  /** Encodes the body of a message with direct commands, valid only in the given worker epoch. */
  public static byte[] encodeDirectCommand(
      long fencingToken, long workerEpoch, List<WorkerCommand> commands) {
    return Cbor.write(
        encode(Cbor.map().put("warrant", fencingToken).put("tenure", workerEpoch), commands));
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

  /** The estimated size of a command in JSON form, in bytes. */
  public static int estimatedSizeBytes(WorkerCommand command) {
    return command.uid().length() + COMMAND_OVERHEAD_BYTES;
  }
}
