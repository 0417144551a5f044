package org.azurearch.pgm.demo;

import org.jspecify.annotations.Nullable;

/** What the steps of the demonstration work on: the mesh, and calls that go on from first use. */
final class DemoContext implements AutoCloseable {
    private final DemoMesh mMesh;
    private final VersionMonitor mVersionMonitor;
    private @Nullable CallLoad mLoad;

    DemoContext(DemoMesh mesh) {
        mMesh = mesh;
        mVersionMonitor = new VersionMonitor(mesh);
    }

    /** Returns the running mesh. */
    DemoMesh mesh() {
        return mMesh;
    }

    /** Returns the watch over the versions in force. */
    VersionMonitor versionMonitor() {
        return mVersionMonitor;
    }

    /** Returns the calls; they begin with the first step that asks for them. */
    CallLoad load() {
        CallLoad load = mLoad;
        if (load == null) {
            load = new CallLoad(mMesh.plan().calls(), mMesh.callAddresses());
            mLoad = load;
        }
        return load;
    }

    @Override
    public void close() {
        if (mLoad != null) {
            mLoad.close();
        }
        mVersionMonitor.close();
    }
}
