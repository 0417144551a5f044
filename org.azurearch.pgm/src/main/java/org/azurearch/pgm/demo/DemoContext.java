package org.azurearch.pgm.demo;

import org.jspecify.annotations.Nullable;

/** The mesh, the call load and the version monitor that the demonstration's steps share. */
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

    /** Returns the monitor of the versions in force. */
    VersionMonitor versionMonitor() {
        return mVersionMonitor;
    }

    /** Returns the call load, which starts on first use. */
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
