package org.carawaysill.architecture;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackages;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaCall;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaConstructorCall;
import com.tngtech.archunit.core.domain.JavaPackage;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.elements.ClassesShould;
import java.nio.channels.FileChannel;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.carawaysill.model.document.AddressFormat;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.jspecify.annotations.NullMarked;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class ArchitectureTest {

    private static final String BASE = "org.carawaysill";
    private static final String GENERATED = BASE + ".protocol.generated..";
    private static final String MODEL = BASE + ".model..";
    private static final String POLICY = BASE + ".policy..";

    private static final JavaClasses MAIN = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages(BASE);

    /** The modules that each module may depend on. */
    private static final Map<String, List<String>> ALLOWED_DEPENDENCIES = Map.of(
            "model", List.of(),
            "policy", List.of("model"),
            "protocol", List.of("model", "policy"),
            "kernel", List.of("model"),
            "node", List.of("model", "policy", "protocol", "kernel"),
            "platform", List.of("model", "policy", "node", "kernel"),
            "control", List.of("model"),
            "standin", List.of("model"),
            "load", List.of("model"),
            "soak", List.of("model", "policy"));

    @Nested
    class Modules {

        static Set<String> modules() {
            return ALLOWED_DEPENDENCIES.keySet();
        }

        @ParameterizedTest
        @MethodSource("modules")
        void useOnlyModulesBelowThem(String module) {
            String[] allowed = Stream.concat(Stream.of(module), ALLOWED_DEPENDENCIES.get(module).stream())
                    .map(name -> BASE + "." + name + "..")
                    .toArray(String[]::new);
            DescribedPredicate<JavaClass> others =
                    resideInAnyPackage(BASE + "..").and(resideOutsideOfPackages(allowed));
            noClasses()
                    .that()
                    .resideInAPackage(BASE + "." + module + "..")
                    .should()
                    .dependOnClassesThat(others)
                    .check(MAIN);
        }

        @Test
        void areAllListed() {
            Set<String> found = MAIN.stream()
                    .map(JavaClass::getPackageName)
                    .map(name -> name.substring(BASE.length() + 1).split("\\.")[0])
                    .collect(Collectors.toSet());
            assertEquals(ALLOWED_DEPENDENCIES.keySet(), found);
        }
    }

    /** A decision that reads a clock or draws its own randomness could not be replayed from its seed. */
    @Nested
    class Decisions {

        private static final String[] FACTORIES = {"of", "getDefault"};

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "java.nio.channels..",
                    "java.nio.file..",
                    "java.util.concurrent..",
                    "java.util.logging..",
                    "io.netty..",
                    "io.vertx..",
                    "io.smallrye..",
                    "org.tinylog..",
                    "org.jctools..",
                    "io.prometheus.."
                })
        void useNoInputOutputThreadsOrLogs(String forbidden) {
            noDecisions().dependOnClassesThat().resideInAPackage(forbidden).check(MAIN);
        }

        @Test
        void openNoConnection() {
            noClasses()
                    .that()
                    .resideInAnyPackage(MODEL, POLICY)
                    .and()
                    .doNotBelongToAnyOf(AddressFormat.class)
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("java.net..")
                    .check(MAIN);
        }

        /**
         * The only permitted use of java.net is parsing an IP address, which needs no network as long as no name is
         * looked up.
         */
        @Test
        void readAddressesWithoutLookingNamesUp() {
            Set<String> used = MAIN.get(AddressFormat.class).getAccessesFromSelf().stream()
                    .map(JavaAccess::getTarget)
                    .filter(target -> target.getOwner().getPackageName().startsWith("java.net"))
                    .map(target -> target.getOwner().getSimpleName() + "." + target.getName())
                    .collect(Collectors.toSet());
            assertEquals(Set.of("InetAddress.ofLiteral", "InetAddress.isAnyLocalAddress"), used);
        }

        @Test
        void startNoThread() {
            noDecisions()
                    .dependOnClassesThat()
                    .belongToAnyOf(Thread.class, ThreadLocal.class)
                    .check(MAIN);
        }

        @Test
        void readNoClock() {
            checkAll(
                    noDecisions().dependOnClassesThat().belongToAnyOf(Clock.class),
                    noDecisions().callMethod(System.class, "nanoTime"),
                    noDecisions().callMethod(System.class, "currentTimeMillis"),
                    noDecisions().callMethodWhere(target("now() of a time", "java.time", "now")));
        }

        @Test
        void drawNoRandomnessOfTheirOwn() {
            checkAll(
                    noDecisions().callMethod(Math.class, "random"),
                    noDecisions().callMethodWhere(target("UUID.randomUUID()", "java.util", "randomUUID")),
                    noDecisions().callMethodWhere(target("a choice of generator", "java.util.random", FACTORIES)),
                    noDecisions().dependOnClassesThat().belongToAnyOf(SecureRandom.class),
                    noDecisions().callConstructorWhere(unseeded()));
        }

        private static ClassesShould noDecisions() {
            return noClasses().that().resideInAnyPackage(MODEL, POLICY).should();
        }

        private static DescribedPredicate<JavaConstructorCall> unseeded() {
            return describe(
                    "a random generator without a seed",
                    call -> Stream.of(Random.class, SplittableRandom.class)
                                    .anyMatch(call.getTargetOwner()::isEquivalentTo)
                            && call.getTarget().getRawParameterTypes().isEmpty());
        }
    }

    @Nested
    class Messages {

        @ParameterizedTest
        @ValueSource(classes = {Event.class, Effect.class, PeerMessage.class})
        void areRecordsOfASealedInterface(Class<?> kind) {
            assertTrue(kind.isSealed(), kind + " must be sealed");
            List<Class<?>> others = Arrays.stream(kind.getPermittedSubclasses())
                    .filter(subclass -> !subclass.isRecord())
                    .toList();
            assertEquals(List.of(), others);
        }
    }

    @Nested
    class Programs {

        @Test
        void startNoProcess() {
            checkAll(
                    noClasses().should().dependOnClassesThat().belongToAnyOf(ProcessBuilder.class, Process.class),
                    noClasses().should().callMethodWhere(target("Runtime.exec()", "java.lang", "exec")));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "io.vertx.core.spi.cluster..",
                    "io.vertx.spi.cluster..",
                    "io.vertx.servicediscovery..",
                    "io.vertx.serviceresolver..",
                    "io.vertx.core.shareddata..",
                    "io.vertx.httpproxy..",
                    "io.vertx.ext.consul..",
                    "com.hazelcast..",
                    "org.infinispan..",
                    "org.jgroups..",
                    "org.apache.zookeeper..",
                    "org.apache.ignite.."
                })
        void useNoClusteringDiscoveryOrProxy(String forbidden) {
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage(forbidden)
                    .check(MAIN);
        }

        @Test
        void useNoRingsOrMemorySharedWithTheKernelOrOtherProcesses() {
            checkAll(
                    noClasses()
                            .should()
                            .dependOnClassesThat()
                            .resideInAnyPackage(
                                    "io.netty.channel.uring..", "io.netty.incubator..", "java.lang.foreign.."),
                    noClasses()
                            .should()
                            .callMethodWhere(target("FileChannel.map()", FileChannel.class.getPackageName(), "map")));
        }
    }

    @Nested
    class Names {

        @ParameterizedTest
        @ValueSource(strings = {"Util", "Utils", "Helper", "Helpers", "Manager"})
        void sayWhatAClassIsFor(String ending) {
            noClasses()
                    .that()
                    .resideOutsideOfPackage(GENERATED)
                    .should()
                    .haveSimpleNameEndingWith(ending)
                    .check(MAIN);
        }
    }

    @Nested
    class Packages {

        @Test
        void areNullMarked() {
            List<String> unmarked = MAIN.getPackage(BASE).getSubpackagesInTree().stream()
                    .filter(each -> !each.getClasses().isEmpty())
                    .filter(each -> !each.getName().startsWith(BASE + ".protocol.generated"))
                    .filter(each -> !isNullMarked(each))
                    .map(JavaPackage::getName)
                    .sorted()
                    .toList();
            assertEquals(List.of(), unmarked);
        }

        private static boolean isNullMarked(JavaPackage each) {
            return each.tryGetPackageInfo()
                    .map(info -> info.isAnnotatedWith(NullMarked.class))
                    .orElse(false);
        }
    }

    private static void checkAll(ArchRule... rules) {
        assertAll(Arrays.stream(rules).map(rule -> () -> rule.check(MAIN)));
    }

    private static DescribedPredicate<JavaCall<?>> target(String description, String ownerPackage, String... names) {
        return describe(
                description,
                call -> call.getTargetOwner().getPackageName().equals(ownerPackage)
                        && List.of(names).contains(call.getTarget().getName()));
    }
}
