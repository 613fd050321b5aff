package org.ploverspindle.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ploverspindle.model.JobKind;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.JobRecord;

/**
 * Guards against submissions that lose a field on the way to their stored record, and against
 * invalid fields that are accepted.
 */
class SubmissionCodecTest {
  private static final String VALID_BODY =
      """
      {"uid":"run-000412","jobclass":"train","owner":"vision","shape":"batch","urgency":"high",
       "pieces":16,"cores":8.0,"accelerators":1.0,"mem_gb":64.0,"bundle":"img-07","image_gb":6.2,
       "flavours":["g8"],"site":null,"one_zone":true,"apart":false,"loaners":true,
       "expected_s":240.0,"save_every_s":30.0,"save_cost_s":4.0,"due_s":900.0}
      """;

  private static ObjectNode validBody() throws Exception {
    return (ObjectNode) new ObjectMapper().readTree(VALID_BODY);
  }

  @Test
  void exampleSubmissionIsDecodedAndItsRecordRoundTrips() throws Exception {
    JobSpec spec = SubmissionCodec.decode(validBody());
    assertEquals(16, spec.tasks());
    assertEquals(JobKind.BATCH, spec.kind());
    assertEquals(Optional.empty(), spec.requiredZone());
    JsonNode stored = Cbor.readMap(Cbor.write(new JobRecord(spec, 77, 80).encode())).orElseThrow();
    assertEquals(Optional.of(new JobRecord(spec, 77, 80)), JobRecord.decode("run-000412", stored));
  }

  @Test
  void optionalFieldsMayBeNullOrAbsent() throws Exception {
    ObjectNode body = validBody();
    body.remove("site");
    body.remove("due_s");
    body.remove("flavours");
    JobSpec spec = SubmissionCodec.decode(body);
    assertEquals(Optional.empty(), spec.allowedTypes());
    assertEquals(false, spec.deadlineS().isPresent());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "uid|\"run 1\"",
        "uid|\"run/1\"",
        "uid|7",
        "uid|null",
        "pieces|0",
        "pieces|100001",
        "pieces|-1",
        "pieces|2.5",
        "pieces|\"3\"",
        "cores|-1.0",
        "cores|\"NaN\"",
        "cores|null",
        "mem_gb|1e999",
        "shape|\"blob\"",
        "urgency|3",
        "one_zone|1",
        "flavours|\"g8\"",
        "flavours|[3]",
        "site|5",
        "due_s|-3",
        "owner|\"\"",
        "expected_s|null",
        "loaners|null",
        "awaits|\"run-000398\"",
        "awaits|{}",
        "awaits|false",
        "awaits|[\"run-000398\",7]",
        "awaits|[null]",
        "awaits|[[\"run-000398\"]]",
        "awaits|[\"run 398\"]",
        "bundle|null",
        "bundle|\"\""
      })
  void invalidFieldIsRejected(String field, String value) throws Exception {
    ObjectNode body = validBody();
    JsonNode node =
        value.equals("1e999")
            ? Cbor.map().numberNode(Double.POSITIVE_INFINITY)
            : new ObjectMapper().readTree(value);
    body.set(field, node);
    assertThrows(MalformedSubmissionException.class, () -> SubmissionCodec.decode(body));
  }

  @Test
  void repeatedDependencyCountsOnceAndAbsentNullOrEmptyMeansNone() throws Exception {
    ObjectNode body = validBody();
    JsonNode withoutDependencies = new JobRecord(SubmissionCodec.decode(body), 77, 80).encode();
    for (String none : new String[] {"null", "[]"}) {
      body.set("awaits", new ObjectMapper().readTree(none));
      JobSpec spec = SubmissionCodec.decode(body);
      assertEquals(List.of(), spec.dependencies());
      assertEquals(
          withoutDependencies, new JobRecord(spec, 77, 80).encode(), "stored as without the field");
    }
    body.set("awaits", new ObjectMapper().readTree("[\"run-2\",\"run-1\",\"run-2\"]"));
    JobSpec spec = SubmissionCodec.decode(body);
    assertEquals(List.of("run-2", "run-1"), spec.dependencies());
    JsonNode stored = Cbor.readMap(Cbor.write(new JobRecord(spec, 77, 80).encode())).orElseThrow();
    assertEquals(Optional.of(new JobRecord(spec, 77, 80)), JobRecord.decode("run-000412", stored));
  }

  @Test
  void nanAmountIsRejected() throws Exception {
    ObjectNode body = validBody().put("cores", Double.NaN);
    assertThrows(MalformedSubmissionException.class, () -> SubmissionCodec.decode(body));
  }
}
