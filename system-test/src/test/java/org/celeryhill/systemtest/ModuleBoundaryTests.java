package org.celeryhill.systemtest;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;

/**
 * Checks the module boundaries of the design page.
 */
@AnalyzeClasses(packages = "org.celeryhill", importOptions = ImportOption.DoNotIncludeTests.class)
class ModuleBoundaryTests {

	/** Guards against decision code that cannot run in virtual time. */
	@ArchTest
	final ArchRule decisionsDoNoIo = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage("org.celeryhill.placement", "org.celeryhill.traffic")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("java.net..", "java.nio.channels..", "java.util.concurrent..", "okhttp3..", "io.undertow..",
				"org.celeryhill.http", "org.celeryhill.peer", "org.celeryhill.state");

	/** Guards against decision code that reads a clock of its own. */
	@ArchTest
	final ArchRule decisionsReadNoClock = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage("org.celeryhill.placement", "org.celeryhill.traffic", "org.celeryhill.state")
		.should()
		.callMethod(System.class, "nanoTime")
		.orShould()
		.callMethod(System.class, "currentTimeMillis")
		.orShould()
		.callMethod(java.time.Instant.class, "now");

	/** Guards against the platform's names and formats anywhere but in its adapter. */
	@ArchTest
	final ArchRule onlyTheEdgeDaemonKnowsThePlatform = ArchRuleDefinition.noClasses()
		.that()
		.resideOutsideOfPackages("org.celeryhill.platform", "org.celeryhill.edge")
		.should()
		.dependOnClassesThat()
		.resideInAPackage("org.celeryhill.platform");

	/** Guards against decisions in the adapter of the platform. */
	@ArchTest
	final ArchRule platformDecidesNothing = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage("org.celeryhill.platform")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("org.celeryhill.traffic", "org.celeryhill.placement", "org.celeryhill.state",
				"org.celeryhill.edge");

	/**
	 * Guards against a data path that depends on the platform's store or on placement.
	 */
	@ArchTest
	final ArchRule dataPathStandsAlone = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage("org.celeryhill.forward")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("org.celeryhill.platform", "org.celeryhill.placement", "org.celeryhill.state",
				"org.celeryhill.edge");

	/** Guards against product code that depends on test doubles. */
	@ArchTest
	final ArchRule productDoesNotUseFakes = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage("org.celeryhill.base", "org.celeryhill.port", "org.celeryhill.config",
				"org.celeryhill.state", "org.celeryhill.placement", "org.celeryhill.traffic", "org.celeryhill.peer",
				"org.celeryhill.http", "org.celeryhill.entry", "org.celeryhill.planner", "org.celeryhill.cli",
				"org.celeryhill.forward", "org.celeryhill.platform", "org.celeryhill.edge")
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("org.celeryhill.fake", "org.celeryhill.standin");

}
