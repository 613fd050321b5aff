package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.ploverspindle.api.ApiResponse;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.WorkerCommand;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.net.Cbor;

/** Encodes and decodes messages as workers and users do, under the names of the protocol. */
final class SimWireCodec {
  private SimWireCodec() {}

  static ObjectNode body(ApiResponse response) {
    return Cbor.readMap(response.body()).orElse(Cbor.map());
  }

  static String status(ApiResponse response) {
    return body(response).path("status").asText("");
  }

  static byte[] encode(Heartbeat heartbeat) {
    ObjectNode body = Cbor.map();
    body.put("host", heartbeat.host())
        .put("addr", heartbeat.address())
        .put("flavour", heartbeat.type());
    body.put("site", heartbeat.zone()).put("loaners", heartbeat.spot());
    body.put("tenure", heartbeat.workerEpoch()).put("tally", heartbeat.sequence());
    body.put("warrant", heartbeat.fencingToken());
    heartbeat.spotNoticeS().ifPresent(seconds -> body.put("recall_s", seconds));
    ArrayNode tasks = body.putArray("pieces");
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      ObjectNode task = tasks.addObject();
      task.put("piece", status.uid() + "/" + status.task()).put("try", status.attempt());
      task.put("status", status.phase().name().toLowerCase(Locale.ROOT));
      if (status.exitReason() != Heartbeat.ExitReason.NONE) {
        task.put("cause", status.exitReason().name().toLowerCase(Locale.ROOT));
      }
      task.put("stored", status.checkpointed());
    }
    return Cbor.write(body);
  }

  static List<WorkerCommand> commands(ObjectNode body) {
    List<WorkerCommand> commands = new ArrayList<>();
    for (JsonNode command : body.path("orders")) {
      commands.add(command(command));
    }
    return commands;
  }

  private static WorkerCommand command(JsonNode command) {
    String taskName = command.path("piece").asText();
    String uid = taskName.substring(0, taskName.lastIndexOf('/'));
    int task = Integer.parseInt(taskName.substring(taskName.lastIndexOf('/') + 1));
    long attempt = command.path("try").asLong();
    return switch (command.path("verb").asText()) {
      case "launch" -> new WorkerCommand.Launch(uid, task, attempt);
      case "stop" ->
          new WorkerCommand.Stop(uid, task, attempt, command.path("wind_down_s").asDouble());
      default -> new WorkerCommand.Forget(uid, task, attempt);
    };
  }

  static byte[] encode(JobSpec spec) {
    ObjectNode body = Cbor.map();
    body.put("uid", spec.uid()).put("jobclass", spec.jobClass()).put("owner", spec.team());
    body.put("shape", spec.expectedS() > 0 ? "batch" : "daemon");
    body.put("urgency", spec.priority().name().toLowerCase(Locale.ROOT));
    body.put("pieces", spec.tasks());
    body.put("cores", spec.cores()).put("accelerators", spec.accelerators());
    body.put("mem_gb", spec.memoryGb());
    spec.allowedTypes().ifPresent(types -> types.forEach(body.putArray("flavours")::add));
    spec.requiredZone().ifPresent(zone -> body.put("site", zone));
    body.put("one_zone", spec.oneZone())
        .put("apart", spec.spreadOverZones())
        .put("loaners", spec.spot());
    body.put("bundle", spec.image()).put("image_gb", spec.imageGb());
    body.put("expected_s", spec.expectedS());
    body.put("save_every_s", spec.checkpointIntervalS()).put("save_cost_s", spec.checkpointCostS());
    spec.deadlineS().ifPresent(seconds -> body.put("due_s", seconds));
    if (!spec.dependencies().isEmpty()) {
      spec.dependencies().forEach(body.putArray("awaits")::add);
    }
    return Cbor.write(body);
  }
}
