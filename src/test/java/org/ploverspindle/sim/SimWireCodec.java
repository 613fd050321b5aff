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

/** The wire's names as workers and users write and read them. */
final class SimWireCodec {
  private SimWireCodec() {}

  static ObjectNode body(ApiResponse answer) {
    return Cbor.readMap(answer.body()).orElse(Cbor.map());
  }

  static String status(ApiResponse answer) {
    return body(answer).path("status").asText("");
  }

  static byte[] encode(Heartbeat report) {
    ObjectNode body = Cbor.map();
    body.put("host", report.host()).put("addr", report.address()).put("flavour", report.type());
    body.put("site", report.zone()).put("loaners", report.spot());
    body.put("tenure", report.agentEpoch()).put("tally", report.sequence());
    body.put("warrant", report.fencingToken());
    report.spotNoticeS().ifPresent(s -> body.put("recall_s", s));
    ArrayNode pieces = body.putArray("pieces");
    for (Heartbeat.TaskStatus item : report.tasks()) {
      ObjectNode piece = pieces.addObject();
      piece.put("piece", item.uid() + "/" + item.task()).put("try", item.attempt());
      piece.put("status", item.phase().name().toLowerCase(Locale.ROOT));
      if (item.exitReason() != Heartbeat.ExitReason.NONE) {
        piece.put("cause", item.exitReason().name().toLowerCase(Locale.ROOT));
      }
      piece.put("stored", item.checkpointed());
    }
    return Cbor.write(body);
  }

  static List<WorkerCommand> orders(ObjectNode body) {
    List<WorkerCommand> orders = new ArrayList<>();
    for (JsonNode order : body.path("orders")) {
      orders.add(order(order));
    }
    return orders;
  }

  private static WorkerCommand order(JsonNode order) {
    String piece = order.path("piece").asText();
    String uid = piece.substring(0, piece.lastIndexOf('/'));
    int task = Integer.parseInt(piece.substring(piece.lastIndexOf('/') + 1));
    long attempt = order.path("try").asLong();
    return switch (order.path("verb").asText()) {
      case "launch" -> new WorkerCommand.Launch(uid, task, attempt);
      case "stop" ->
          new WorkerCommand.Stop(uid, task, attempt, order.path("wind_down_s").asDouble());
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
    spec.types().ifPresent(types -> types.forEach(body.putArray("flavours")::add));
    spec.zone().ifPresent(zone -> body.put("site", zone));
    body.put("one_zone", spec.oneZone())
        .put("apart", spec.spreadOverZones())
        .put("loaners", spec.spot());
    body.put("bundle", spec.image()).put("image_gb", spec.imageGb());
    body.put("expected_s", spec.expectedS());
    body.put("save_every_s", spec.checkpointIntervalS()).put("save_cost_s", spec.checkpointCostS());
    spec.deadlineS().ifPresent(due -> body.put("due_s", due));
    if (!spec.dependencies().isEmpty()) {
      spec.dependencies().forEach(body.putArray("awaits")::add);
    }
    return Cbor.write(body);
  }
}
