package io.limpetfold.config.yaml

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class SettingsPageTest :
    FunSpec({
        test("guards against a settings page whose keys, units, defaults or ranges differ from the code") {
            val service =
                """{"service":"a","kind":"plain","versions":[{"version":"1","maxInFlightPerEndpoint":1}],
                "routes":[{"route":"a","pathPrefix":"/","activeVersion":"1",
                "calls":[{"method":"GET","path":"/","isRepeatable":true}]}]}"""
            val workspaces = """{"maxRouters":1,"workspaces":[{"workspace":"a","keyHashes":["a"]}]}"""

            SettingsPage.documentedRows("Service file") shouldBe
                SettingsPage.expectedRows(ServiceFile.serializer(), service)
            SettingsPage.documentedRows("Workspaces file") shouldBe
                SettingsPage.expectedRows(WorkspacesFile.serializer(), workspaces)
        }
    })
