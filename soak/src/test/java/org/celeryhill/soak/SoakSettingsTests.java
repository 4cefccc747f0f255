package org.celeryhill.soak;

import org.celeryhill.base.Finding;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SoakSettings}.
 */
class SoakSettingsTests {

	// Guards against a run that reports one wrong setting at a time.
	@Test
	void allFindingsAreReportedTogether() {
		SoakSettings settings = new SoakSettings();
		CommandLine.populateCommand(settings, "--minutes=0", "--processes=0", "--servers=1000", "--only=STOP,QUAKE",
				"--directory=/nowhere");
		assertThat(settings.check()).extracting(Finding::path)
			.containsExactly("--minutes", "--processes", "--servers", "--only", "--directory");
	}

	// Guards against names of kinds that are only accepted in one spelling.
	@Test
	void kindsAreReadInAnyCase() {
		SoakSettings settings = new SoakSettings();
		CommandLine.populateCommand(settings, "--only=stop,store-busy", "--directory=..");
		assertThat(settings.check()).isEmpty();
		assertThat(settings.kinds()).containsExactly(FaultKind.STOP, FaultKind.STORE_BUSY);
	}

}
