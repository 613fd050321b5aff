package org.ploverspindle.cli;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import org.ploverspindle.policy.Policy;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.settings.SettingsFile;
import picocli.CommandLine.Command;

/**
 * Starts a controller on loopback that finds no state service, and stops it again: the build takes
 * the class-data archive from what this loads.
 */
@Command(name = "rehearse", hidden = true, description = "Used by the build.")
final class Rehearse implements Callable<Integer> {

  @Override
  public Integer call() throws Exception {
    byte[] sample = Rehearse.class.getResourceAsStream("/rehearsal.toml").readAllBytes();
    Settings settings =
        SettingsFile.parse("rehearsal.toml", new String(sample, StandardCharsets.UTF_8));
    Service service = new Service(settings, Policy.DEFAULT, new SplittableRandom());
    service.start();
    Thread.sleep(1_500);
    service.stop();
    return 0;
  }
}
