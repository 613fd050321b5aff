import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's controllers as processes of their own, started with the command of the deploy file. */
final class Cluster {
  static final class Controller {
    String name;
    int front;
    int back;
    int statePort;
    int cloudPort;
    Path settings;
    Path log;
    Process process;
    int starts;
  }

  final List<Controller> controllers = new ArrayList<>();
  final Path dir;
  final List<String> run;
  final Rules rules;

  Cluster(Rules rules, int count) throws Exception {
    this.rules = rules;
    dir = Files.createTempDirectory("review2-");
    String deploy = Files.readString(Path.of("deploy/service.toml"));
    Matcher m = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!m.find()) {
      throw new IllegalStateException("no run command in the deploy file");
    }
    run = List.of(m.group(1).split(" "));
    for (int i = 0; i < count; i++) {
      Controller c = new Controller();
      c.name = "spindle-" + i;
      c.front = Http.freePort();
      c.back = Http.freePort();
      c.statePort = Http.freePort();
      c.cloudPort = Http.freePort();
      c.settings = dir.resolve(c.name + ".toml");
      c.log = dir.resolve(c.name + ".log");
      controllers.add(c);
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
  }

  /** Writes the settings; body holds the tables from [params] on. */
  void writeSettings(String site, String params) throws IOException {
    for (Controller c : controllers) {
      StringBuilder t = new StringBuilder();
      t.append("member = \"" + c.name + "\"\nlocation = \"" + site + "\"\n");
      t.append("front = \"127.0.0.1:" + c.front + "\"\nback = \"127.0.0.1:" + c.back + "\"\n");
      for (Controller o : controllers) {
        if (o != c) {
          t.append("\n[[members]]\nmember = \"" + o.name + "\"\nlocation = \"" + site + "\"\naddress = \"127.0.0.1:" + o.back + "\"\n");
        }
      }
      t.append("\n[outside]\ncloud = \"127.0.0.1:" + c.cloudPort + "\"\nstate = \"127.0.0.1:" + c.statePort + "\"\n\n");
      t.append(params);
      Files.writeString(c.settings, t.toString());
    }
  }

  synchronized void start(Controller c) {
    try {
      List<String> command = new ArrayList<>(run);
      command.add(c.settings.toString());
      ProcessBuilder b = new ProcessBuilder(command);
      b.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG", "info"));
      b.redirectErrorStream(true);
      b.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(c.log.toString())));
      c.process = b.start();
      c.starts++;
      rules.say("process " + c.name + " started, pid " + c.process.pid());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  void signal(Controller c, String signal) throws Exception {
    rules.say("signal " + signal + " to " + c.name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(c.process.pid())).start().waitFor();
  }

  void kill(Controller c) {
    rules.say("kill " + c.name);
    c.process.destroyForcibly();
  }

  /** The answer to GET /status, or an empty text. */
  static String status(Controller c) {
    Http.Client client = new Http.Client(c.front);
    try {
      Http.Response r = client.send("GET", "/status", null, 1000);
      return r.status() == 200 ? Cb.text(r.map(), "status") : "";
    } catch (IOException | RuntimeException e) {
      return "";
    } finally {
      client.close();
    }
  }

  static boolean ready(Controller c) {
    Http.Client client = new Http.Client(c.front);
    try {
      return client.send("GET", "/ready", null, 1000).status() == 200;
    } catch (IOException e) {
      return false;
    } finally {
      client.close();
    }
  }

  Controller leader() {
    for (Controller c : controllers) {
      if (c.process != null && c.process.isAlive() && status(c).contains(" token=")) {
        return c;
      }
    }
    return null;
  }

  /** Ends all controllers and removes the temporary folder. */
  synchronized void endAll() {
    for (Controller c : controllers) {
      if (c.process != null) {
        c.process.destroyForcibly();
      }
    }
    for (Controller c : controllers) {
      try {
        if (c.process != null) {
          c.process.waitFor();
        }
        Files.deleteIfExists(c.settings);
        Files.deleteIfExists(c.log);
      } catch (IOException | InterruptedException e) {
        // The folder is a temporary one.
      }
    }
    try {
      Files.deleteIfExists(dir);
    } catch (IOException e) {
      // The folder is a temporary one.
    }
  }

  /** Copies the last lines of each controller's log to the record. */
  void recordLogs(int lines) {
    for (Controller c : controllers) {
      try {
        List<String> all = Files.readAllLines(c.log);
        for (String line : all.subList(Math.max(0, all.size() - lines), all.size())) {
          rules.say("log of " + c.name + ": " + line);
        }
      } catch (IOException e) {
        rules.say("no log of " + c.name);
      }
    }
  }
}
