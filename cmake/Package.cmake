include(GNUInstallDirs)

# Declares the library target of one package, with sources in src/ and public headers in include/.
# Further arguments are the libraries that it links to.
function(sapphirewheel_package name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  add_library(sapphirewheel_${name} STATIC ${sources})
  add_library(sapphirewheel::${name} ALIAS sapphirewheel_${name})
  set_target_properties(sapphirewheel_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(
    sapphirewheel_${name}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
           $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_compile_options(sapphirewheel_${name} PRIVATE -Wall -Wextra -Wpedantic)
  target_link_libraries(sapphirewheel_${name} PUBLIC ${ARGN})
  install(TARGETS sapphirewheel_${name} EXPORT sapphirewheelTargets)
  install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
endfunction()

# For each package, builds PACKAGE/tests/*.cc into one CppUTest program and registers it with CTest.
# A group named by SAPPHIREWHEEL_LONG_GROUP_<program> is a CTest test of its own, so that both stay
# far from the time limit on a busy machine.
function(sapphirewheel_package_tests)
  foreach(directory IN LISTS ARGN)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${directory}/tests/*.cc)
    if(sources)
      string(REPLACE "/" "_" suffix ${directory})
      get_filename_component(package ${directory} NAME)
      set(target ${suffix}_tests)
      add_executable(${target} ${sources} ${CMAKE_SOURCE_DIR}/tests/test_main.cc)
      if(TARGET sapphirewheel_${package})
        target_link_libraries(${target} PRIVATE sapphirewheel_${package})
      endif()
      target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR})
      target_link_libraries(${target} PRIVATE PkgConfig::CPPUTEST Threads::Threads)
      set(long_group ${SAPPHIREWHEEL_LONG_GROUP_${target}})
      if(long_group)
        add_test(NAME ${target} COMMAND ${target} -v -xsg ${long_group})
        add_test(NAME ${target}_${long_group} COMMAND ${target} -v -sg ${long_group})
        set_tests_properties(${target}_${long_group} PROPERTIES
          TIMEOUT 300 ENVIRONMENT "${SAPPHIREWHEEL_LONG_GROUP_ENVIRONMENT}")
      else()
        add_test(NAME ${target} COMMAND ${target} -v)
      endif()
      set_tests_properties(${target} PROPERTIES TIMEOUT 300)
    endif()
  endforeach()
endfunction()
