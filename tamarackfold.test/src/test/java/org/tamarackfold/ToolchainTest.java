package org.tamarackfold;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against running the tests on an unsupported Java version. */
public class ToolchainTest {
    @Test
    public void runsOnSupportedVersion() {
        Assert.assertTrue(Runtime.version().feature() >= 25);
    }
}
