package org.ploverspindle;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Which package of the main sources may depend on which. */
final class ArchitectureTest {
  private static final String ROOT = "org.ploverspindle.";

  private static final Pattern CODEC = Pattern.compile(".*(Codec|Record)|Http.*");

  private static final JavaClasses MAIN =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.ploverspindle");

  /** A package may depend on those before it. That alone leaves no cycles. */
  private static final List<String> LAYERS =
      List.of(
          "eventloop",
          "settings",
          "sizing",
          "net",
          "policy",
          "peers",
          "model",
          "state",
          "leases",
          "cluster",
          "progress",
          "pipelines",
          "placement",
          "scalein",
          "cloud",
          "leadership",
          "api",
          "controller",
          "cli");

  /**
   * Dependencies against the layers that are let through: a package, and the class of a later layer
   * that it uses. There are none. An entry that is not needed fails the test too.
   */
  private static final Set<String> AGAINST_THE_LAYERS = Set.of();

  @Test
  void everyPackageHasItsLayer() {
    Set<String> packages =
        MAIN.stream()
            .map(ArchitectureTest::packageOf)
            .collect(Collectors.toCollection(TreeSet::new));
    assertEquals(new TreeSet<>(LAYERS), packages);
  }

  @Test
  void packagesDependOnEarlierLayersOnly() {
    Set<String> against = new TreeSet<>();
    for (JavaClass from : MAIN) {
      for (Dependency dependency : from.getDirectDependenciesFromSelf()) {
        JavaClass to = dependency.getTargetClass().getBaseComponentType();
        if (to.getPackageName().startsWith(ROOT) && isAgainstTheLayers(from, to)) {
          against.add(packageOf(from) + " -> " + packageOf(to) + "." + topLevelName(to));
        }
      }
    }
    assertEquals(new TreeSet<>(AGAINST_THE_LAYERS), against);
  }

  @Test
  void sizingDependsOnNothingOfOurs() {
    classes()
        .that()
        .resideInAPackage(ROOT + "sizing")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(ROOT + "sizing", "java..")
        .check(MAIN);
  }

  /** Records, wire forms and protocol clients must read the same whoever leads. */
  @Test
  void codecsKnowNothingOfTheLeader() {
    noClasses()
        .that(
            DescribedPredicate.describe(
                "are codecs, records or protocol clients, or inside one",
                type -> CODEC.matcher(topLevelName(type)).matches()))
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(ROOT + "leadership", ROOT + "placement", ROOT + "controller")
        .check(MAIN);
  }

  /** CBOR, JSON and TOML trees, and so wire names, reach neither decisions nor the clock. */
  @Test
  void decisionsAreMadeWithoutWireTrees() {
    noClasses()
        .that()
        .resideInAnyPackage(
            ROOT + "eventloop",
            ROOT + "sizing",
            ROOT + "policy",
            ROOT + "peers",
            ROOT + "placement")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("com.fasterxml..")
        .check(MAIN);
  }

  private static boolean isAgainstTheLayers(JavaClass from, JavaClass to) {
    return LAYERS.indexOf(packageOf(to)) > LAYERS.indexOf(packageOf(from));
  }

  private static String packageOf(JavaClass type) {
    return type.getPackageName().substring(ROOT.length());
  }

  private static String topLevelName(JavaClass type) {
    String name = type.getName().substring(type.getPackageName().length() + 1);
    return name.contains("$") ? name.substring(0, name.indexOf('$')) : name;
  }
}
